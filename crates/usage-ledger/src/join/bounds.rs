//! The times that joining depends on.

use crate::period::Period;
use std::ops::Range;

/// Times in milliseconds that joining goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinBounds {
    /// The longest after a first request that a retry may arrive.
    pub horizon_ms: i64,
    /// The most that two aggregators' clocks differ.
    pub skew_ms: i64,
}

impl JoinBounds {
    /// The arrivals that settling a period has to read, in Unix milliseconds.
    pub fn arrivals(&self, period: Period) -> Range<i64> {
        let from_ms = period.start_ms.saturating_sub(self.skew_ms);
        let until_ms = period.end_ms.saturating_add(self.lookahead_ms());
        from_ms..until_ms
    }

    /// How far past its end settling a period reads, in milliseconds.
    pub fn lookahead_ms(&self) -> i64 {
        self.horizon_ms
            .saturating_add(3 * self.skew_ms)
            .saturating_add(1)
    }
}
