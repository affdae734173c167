//! The clock of the settlement.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current time in Unix milliseconds.
pub fn unix_time_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as i64
}
