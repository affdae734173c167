//! Graceful shutdown.
//!
//! During the drain period everything goes on, since clients learn of the shutdown with a delay;
//! each reply asks its client to close the connection. Then listening stops and idle clients are
//! closed; open queries go on, but all have ended by the answer deadline. What still arrives after
//! it is rejected at once.
//!
//! The ends of the phases follow from the moment at which the platform may kill the process, which
//! depends on the longest deadline in the settings. No phase has a length of its own that could
//! reach past that moment.
//!
//! The process exits once nothing is left that could need an answer: every frontend has reported
//! that it has stopped, every client's connection that it has ended, and no query is open. Until
//! then the engine goes on, however long it has known of no open query: a request may be on its
//! way from a connection that is still read. Only at the exit deadline it exits without these
//! reports.

use super::effect::Effect;
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::{Event, Nanos};

/// How long all goes on after a shutdown was requested: new connections keep coming for 0.4 s.
const DRAIN_PERIOD: Nanos = 500 * MILLISECOND;

/// The earliest kill comes this long after the longest deadline.
const KILL_GRACE: Nanos = 700 * MILLISECOND;
/// A longer deadline does not delay the kill any further.
const MAX_COUNTED_DEADLINE: Nanos = 3_000 * MILLISECOND;

/// How long before the earliest kill every query is answered. A process may be held up for 150 ms
/// between reading its clock and writing.
const ANSWER_MARGIN: Nanos = 200 * MILLISECOND;

/// How long before the earliest kill the process exits.
const EXIT_MARGIN: Nanos = 50 * MILLISECOND;

/// When the phases of a shutdown end.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    drain_period_ends: Nanos,
    answer_deadline: Nanos,
    exit_deadline: Nanos,
}

impl Schedule {
    fn new(requested_at: Nanos, longest_client_deadline: Nanos) -> Schedule {
        let counted_deadline = longest_client_deadline.min(MAX_COUNTED_DEADLINE);
        let earliest_kill = requested_at + counted_deadline + KILL_GRACE;
        Schedule {
            drain_period_ends: requested_at + DRAIN_PERIOD,
            answer_deadline: earliest_kill - ANSWER_MARGIN,
            exit_deadline: earliest_kill - EXIT_MARGIN,
        }
    }
}

/// How far a graceful shutdown has come.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// None while no shutdown was requested.
    schedule: Option<Schedule>,
    drain_period_ended: bool,
    /// Frontends that may still hand over a request.
    running_frontends: usize,
    exited: bool,
}

impl ShutdownState {
    pub(super) fn is_requested(&self) -> bool {
        self.schedule.is_some()
    }

    /// By when every query has to be answered; none while no shutdown was requested.
    pub(super) fn answer_deadline(&self) -> Option<Nanos> {
        self.schedule.map(|schedule| schedule.answer_deadline)
    }

    /// No more clients are accepted, and idle ones are closed.
    pub(super) fn is_drain_period_over(&self) -> bool {
        self.drain_period_ended
    }

    /// The engine has requested the exit of the process.
    pub(super) fn has_exited(&self) -> bool {
        self.exited
    }
}

impl Engine {
    pub(super) fn on_shutdown_requested(&mut self, now: Nanos) {
        if self.shutdown.is_requested() {
            return;
        }
        let schedule = Schedule::new(now, self.longest_client_deadline());
        self.timers
            .set(schedule.drain_period_ends, Timer::DrainPeriodEnded);
        self.timers
            .set(schedule.answer_deadline, Timer::AnswerDeadline);
        self.timers.set(schedule.exit_deadline, Timer::ExitDeadline);
        self.shutdown.schedule = Some(schedule);
        self.shorten_deadlines(schedule.answer_deadline);
        self.events.push(Event::ShutdownRequested {
            answer_by: schedule.answer_deadline,
        });
        self.effects.push(Effect::StartDraining);
    }

    /// The longest that a client of any class waits.
    fn longest_client_deadline(&self) -> Nanos {
        let deadlines = self.settings.deadlines.iter();
        deadlines.max().copied().unwrap_or_default()
    }

    pub(super) fn on_frontend_started(&mut self) {
        self.shutdown.running_frontends += 1;
    }

    pub(super) fn on_frontend_stopped(&mut self) {
        let running = &mut self.shutdown.running_frontends;
        *running = running.saturating_sub(1);
        tracing::debug!(running, "frontend stopped");
    }

    pub(super) fn on_drain_period_ended(&mut self) {
        self.log_shutdown_state("drain period ended");
        self.shutdown.drain_period_ended = true;
        self.effects.push(Effect::StopListening);
        let idle_clients = self.clients.without_query();
        self.effects
            .extend(idle_clients.map(|client| Effect::DrainClient { client }));
    }

    /// No query is open any more, as each had this as its deadline at the latest; replies to them
    /// wait for nothing.
    pub(super) fn on_answer_deadline(&mut self) {
        self.log_shutdown_state("answer deadline");
        self.effects.push(Effect::ReleaseReplies);
    }

    /// Exits although something has not ended: a client does not read, or does not close.
    pub(super) fn on_exit_deadline(&mut self) {
        if !self.shutdown.exited {
            self.log_shutdown_state("exit deadline");
        }
        self.exit();
    }

    /// Requests the exit of the process once nothing is left that could need an answer.
    pub(super) fn maybe_exit(&mut self) {
        let nothing_left = self.queries.is_empty()
            && self.clients.is_empty()
            && self.shutdown.running_frontends == 0;
        if self.shutdown.drain_period_ended && nothing_left {
            self.exit();
        }
    }

    fn exit(&mut self) {
        let Some(schedule) = self.shutdown.schedule.filter(|_| !self.shutdown.exited) else {
            return;
        };
        self.shutdown.exited = true;
        self.effects.push(Effect::Exit {
            counters: Box::new(self.counters.clone()),
            deadline: schedule.exit_deadline,
        });
    }

    fn log_shutdown_state(&self, state: &str) {
        tracing::info!(
            clients = self.clients.len(),
            open_queries = self.queries.len(),
            running_frontends = self.shutdown.running_frontends,
            "{state}"
        );
    }
}
