//! The idle timer of a connection to a leaf server.

use crate::api::Nanos;

/// Result of checking a connection whose idle timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleCheck {
    /// The connection is in use or has ended.
    InUse,
    /// The connection has been used since the timer was set. The timer must be set again, for this
    /// time.
    DueLater(Nanos),
    /// The connection has been idle for the whole idle period.
    Expired,
}

/// Time since which a connection has been idle, and the timer that checks it. At most one timer is
/// set at a time, no matter how often the connection becomes idle.
#[derive(Debug)]
pub(super) struct IdleTimer {
    idle_since: Nanos,
    due: Option<Nanos>,
}

impl IdleTimer {
    pub(super) fn new(now: Nanos) -> IdleTimer {
        IdleTimer {
            idle_since: now,
            due: None,
        }
    }

    /// Returns the time at which the latest idle period began.
    pub(super) fn idle_since(&self) -> Nanos {
        self.idle_since
    }

    /// Returns the time of the next check, or `None` if no timer is set.
    pub(super) fn due(&self) -> Option<Nanos> {
        self.due
    }

    /// Starts an idle period. Returns `true` if the timer must be set for `due`, `false` if a timer
    /// is already set.
    pub(super) fn begin(&mut self, now: Nanos, due: Nanos) -> bool {
        self.idle_since = now;
        let needs_timer = self.due.is_none();
        self.due.get_or_insert(due);
        needs_timer
    }

    /// Handles a due timer of a connection that is in use.
    pub(super) fn clear(&mut self) {
        self.due = None;
    }

    /// Handles a due timer of a connection that is idle.
    pub(super) fn check(&mut self, now: Nanos, idle_period: Nanos) -> IdleCheck {
        let due = self.idle_since + idle_period;
        if due <= now {
            return IdleCheck::Expired;
        }
        self.due = Some(due);
        IdleCheck::DueLater(due)
    }
}
