//! The clock of a process: Unix time as read at the start, plus what has passed since.

use crate::api::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that still compares with the start times that discovery states.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at the start.
    started_unix: Nanos,
}

impl Clock {
    /// Reads the Unix time and starts the clock.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_unix: unix_time.as_nanos() as Nanos,
        }
    }

    /// The time now, in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.started_unix + self.started.elapsed().as_nanos() as Nanos
    }

    /// The runtime's instant for a time; for a time before the start, the start.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at.saturating_sub(self.started_unix))
    }
}
