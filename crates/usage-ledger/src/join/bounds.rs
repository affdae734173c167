//! Time limits for joining retries to first requests.

use crate::period::Period;
use std::ops::Range;

/// Time limits within which retries are joined to first requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinBounds {
    /// Maximum time between the arrivals of a first request and of a retry, in milliseconds.
    pub horizon_ms: i64,
    /// Maximum difference between the clocks of two aggregators, in milliseconds.
    pub skew_ms: i64,
}

impl JoinBounds {
    /// Returns the range of arrival times, in Unix milliseconds, of the records that are read to
    /// settle `period`.
    pub fn arrivals(&self, period: Period) -> Range<i64> {
        let from_ms = period.start_ms.saturating_sub(self.skew_ms);
        let until_ms = period.end_ms.saturating_add(self.lookahead_ms());
        from_ms..until_ms
    }

    /// Returns the time after the end of a period, in milliseconds, during which arriving records
    /// are still read to settle the period.
    pub fn lookahead_ms(&self) -> i64 {
        self.horizon_ms
            .saturating_add(3 * self.skew_ms)
            .saturating_add(1)
    }
}
