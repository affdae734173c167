//! Limits how often a log line is written whose rate is decided by clients or leaf servers.

use super::MILLISECOND;
use crate::api::Nanos;

/// Length of the period within which the number of lines is limited.
const PERIOD: Nanos = 1_000 * MILLISECOND;
/// Maximum number of lines in one period.
const MAX_LINES: u32 = 10;

/// The limit for one kind of log line. What is not logged still counts in the counters.
#[derive(Debug, Default)]
pub(super) struct LogThrottle {
    period_started_at: Nanos,
    /// Number of lines in the current period.
    lines: u32,
    /// Number of occurrences that were not logged since the last line.
    suppressed: u64,
}

impl LogThrottle {
    /// Returns `None` if the line must not be logged now. Otherwise, returns the number of
    /// occurrences since the last line that were not logged.
    pub(super) fn admit(&mut self, now: Nanos) -> Option<u64> {
        if now.saturating_sub(self.period_started_at) >= PERIOD {
            self.period_started_at = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// The limits of the engine's log lines.
#[derive(Debug, Default)]
pub(super) struct LogThrottles {
    pub(super) over_capacity: LogThrottle,
    pub(super) too_late: LogThrottle,
    pub(super) malformed_response: LogThrottle,
    pub(super) rejected_frame: LogThrottle,
}
