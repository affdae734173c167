//! The timers of the engine.

use super::ids::{AttemptId, ConnectionId, HealthCheckId};
use super::Engine;
use crate::api::{AttemptOutcome, Event, LoadReport, Nanos, RequestId};
use std::collections::BTreeSet;

/// A timer of the engine, by what happens when it is due. Timers that are due at the same time run
/// in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer set by the policy, identified by its token.
    Policy(u64),
    /// An attempt times out; see [`Engine::cancel_attempt`].
    AttemptTimeout(AttemptId),
    /// A connection must have been established.
    ConnectTimeout(ConnectionId),
    /// A connection may have been idle for the whole idle period.
    IdleTimeout(ConnectionId),
    /// A health check times out.
    HealthCheckTimeout(HealthCheckId),
    /// A query's reply must be sent now to reach the client before the client times out.
    ReplyDeadline(RequestId),
    /// The next watermark of the usage log is due.
    UsageWatermark,
    /// The drain period of a shutdown ends.
    DrainPeriodEnded,
    /// Every query must have been answered during a shutdown.
    AnswerDeadline,
    /// A graceful shutdown must be complete.
    ExitDeadline,
}

/// The pending timers, ordered by the time at which they are due.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    timers: BTreeSet<(Nanos, Timer)>,
}

impl TimerQueue {
    pub(super) fn set(&mut self, due: Nanos, timer: Timer) {
        self.timers.insert((due, timer));
    }

    pub(super) fn cancel(&mut self, due: Nanos, timer: Timer) {
        self.timers.remove(&(due, timer));
    }

    /// Returns the time at which the first timer is due.
    pub(super) fn next_due(&self) -> Option<Nanos> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Removes and returns the first timer if it is due.
    fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        self.next_due().filter(|due| *due <= now)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    pub(super) fn len(&self) -> usize {
        self.timers.len()
    }
}

impl Engine {
    pub(super) fn run_due_timers(&mut self, now: Nanos) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.on_timer(now, timer);
        }
    }

    fn on_timer(&mut self, now: Nanos, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.events.push(Event::TimerFired { token }),
            Timer::AttemptTimeout(attempt) => {
                self.cancel_attempt(now, attempt, AttemptOutcome::TimedOut);
            }
            Timer::ConnectTimeout(connection) => self.on_connect_timeout(now, connection),
            Timer::IdleTimeout(connection) => self.on_idle_timeout(now, connection),
            Timer::HealthCheckTimeout(check) => {
                self.on_health_check_ended(now, check, AttemptOutcome::TimedOut, LoadReport::new());
            }
            Timer::ReplyDeadline(query) => self.on_reply_deadline(now, query),
            Timer::UsageWatermark => self.record_watermark(now),
            Timer::DrainPeriodEnded => self.on_drain_period_ended(),
            Timer::AnswerDeadline => self.on_answer_deadline(),
            Timer::ExitDeadline => self.on_exit_deadline(),
        }
    }
}
