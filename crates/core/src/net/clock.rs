//! Clock of the process: the Unix time at the start, plus the monotonic time since then.

use crate::api::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock in Unix time, whose values can be compared with the start times that discovery
/// states.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at the start.
    started_unix_ns: Nanos,
}

impl Clock {
    /// Reads the Unix time and starts the clock.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_unix_ns: unix_time.as_nanos() as Nanos,
        }
    }

    /// Returns the current time, in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.started_unix_ns + self.started.elapsed().as_nanos() as Nanos
    }

    /// Converts a time in Unix nanoseconds to an instant of the runtime. A time before the start of
    /// the clock becomes the start.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at.saturating_sub(self.started_unix_ns))
    }
}
