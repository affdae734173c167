//! The clock of the settlement.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current time in Unix milliseconds; 0 if the clock is set to a time before 1970.
pub fn unix_time_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as i64
}
