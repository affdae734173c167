//! The times that joining depends on.

use crate::period::Period;
use std::ops::Range;

/// The times within which retries are joined to first requests, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinBounds {
    /// The longest time from a first request to the arrival of a retry.
    pub horizon_ms: i64,
    /// The largest difference between the clocks of two aggregators.
    pub skew_ms: i64,
}

impl JoinBounds {
    /// The arrival times of the records that settling a period reads, in Unix milliseconds.
    pub fn arrivals(&self, period: Period) -> Range<i64> {
        let from_ms = period.start_ms.saturating_sub(self.skew_ms);
        let until_ms = period.end_ms.saturating_add(self.lookahead_ms());
        from_ms..until_ms
    }

    /// How far past the end of a period its settling reads, in milliseconds.
    pub fn lookahead_ms(&self) -> i64 {
        self.horizon_ms
            .saturating_add(3 * self.skew_ms)
            .saturating_add(1)
    }
}
