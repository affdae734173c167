//! The idle timer of a connection to a leaf server.

use crate::api::Nanos;

/// What an idle timer has found when it was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleCheck {
    /// The connection is in use, or has ended.
    InUse,
    /// The connection was used in the meantime: the timer has to be set again.
    DueLater(Nanos),
    /// The connection has been idle for the whole period.
    Expired,
}

/// Since when a connection has been idle, and when that is checked. There is one timer at a time,
/// however often the connection becomes idle.
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

    /// When the connection is checked next; none if no timer is set.
    pub(super) fn due(&self) -> Option<Nanos> {
        self.due
    }

    /// The connection is idle from now on. True if the timer has to be set for `due`; false if it
    /// is set already.
    pub(super) fn begin(&mut self, now: Nanos, due: Nanos) -> bool {
        self.idle_since = now;
        let needs_timer = self.due.is_none();
        self.due.get_or_insert(due);
        needs_timer
    }

    /// The timer is due, and the connection is in use.
    pub(super) fn clear(&mut self) {
        self.due = None;
    }

    /// The timer is due, and the connection is idle.
    pub(super) fn check(&mut self, now: Nanos, idle_period: Nanos) -> IdleCheck {
        let due = self.idle_since + idle_period;
        if due <= now {
            return IdleCheck::Expired;
        }
        self.due = Some(due);
        IdleCheck::DueLater(due)
    }
}
