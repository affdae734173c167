//! Graceful shutdown: its phases and when each of them ends.
//!
//! 1. **Drain period** ([`Effect::StartDraining`]): after the request, all service continues, since
//!    it takes a while until clients know of the shutdown. Each reply announces that its connection
//!    will be closed.
//! 2. **End of the drain period** ([`Effect::StopListening`]): no more clients are accepted, and
//!    idle clients are closed ([`Effect::DrainClient`]). Open queries continue, and so do requests
//!    on connections that have not been closed yet.
//! 3. **Answer deadline** ([`Effect::ReleaseReplies`]): every query has ended, since none has a
//!    later deadline. Requests that still arrive are rejected at once, and no reply waits for the
//!    usage log.
//! 4. **Exit** ([`Effect::Exit`]): as soon as no query is open, every frontend has stopped and the
//!    connection of every client has ended; in any case at the **exit deadline**. It is not
//!    sufficient that no query is open, since a request may be in transit on a connection that is
//!    still being read.
//!
//! The platform may kill the process after a time that depends on the longest client deadline in
//! the settings (`Schedule`). The answer deadline and the exit deadline are
//! fixed times before the earliest kill, so no phase can last until the kill.
//!
//! [`crate::net`] describes what the sockets do in each phase.

use super::effect::Effect;
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::{Event, Nanos};

/// Length of the drain period. Clients open new connections for 0.4 s after the shutdown request.
const DRAIN_PERIOD: Nanos = 500 * MILLISECOND;

/// The platform may kill the process this long after the longest client deadline, counted from the
/// shutdown request, has passed.
const KILL_GRACE: Nanos = 700 * MILLISECOND;

/// Maximum client deadline that delays the kill. A longer deadline counts as this one.
const MAX_COUNTED_DEADLINE: Nanos = 3_000 * MILLISECOND;

/// Time from the answer deadline to the earliest kill. A process may be suspended for 150 ms
/// between reading its clock and writing.
const ANSWER_MARGIN: Nanos = 200 * MILLISECOND;

/// Time from the exit deadline to the earliest kill.
const EXIT_MARGIN: Nanos = 50 * MILLISECOND;

/// Times at which the phases of a shutdown end.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    drain_period_end: Nanos,
    answer_deadline: Nanos,
    exit_deadline: Nanos,
}

impl Schedule {
    fn new(requested_at: Nanos, longest_client_deadline: Nanos) -> Schedule {
        let counted_deadline = longest_client_deadline.min(MAX_COUNTED_DEADLINE);
        let earliest_kill = requested_at + counted_deadline + KILL_GRACE;
        Schedule {
            drain_period_end: requested_at + DRAIN_PERIOD,
            answer_deadline: earliest_kill - ANSWER_MARGIN,
            exit_deadline: earliest_kill - EXIT_MARGIN,
        }
    }
}

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// `None` until a shutdown is requested.
    schedule: Option<Schedule>,
    is_drain_period_over: bool,
    /// Number of frontends that may still report a new client.
    running_frontends: usize,
    is_exit_requested: bool,
}

impl ShutdownState {
    pub(super) fn is_requested(&self) -> bool {
        self.schedule.is_some()
    }

    /// Returns the time by which every query must be answered, or `None` if no shutdown was
    /// requested.
    pub(super) fn answer_deadline(&self) -> Option<Nanos> {
        self.schedule.map(|schedule| schedule.answer_deadline)
    }

    /// Returns whether the drain period is over: no more clients are accepted, and idle clients are
    /// closed.
    pub(super) fn is_drain_period_over(&self) -> bool {
        self.is_drain_period_over
    }

    /// Returns whether the engine has requested the exit of the process.
    pub(super) fn is_exit_requested(&self) -> bool {
        self.is_exit_requested
    }

    /// Marks the exit as requested and returns the exit deadline. Returns `None` if no shutdown was
    /// requested, or if the exit has already been requested.
    fn begin_exit(&mut self) -> Option<Nanos> {
        let schedule = self.schedule.filter(|_| !self.is_exit_requested)?;
        self.is_exit_requested = true;
        Some(schedule.exit_deadline)
    }
}

impl Engine {
    pub(super) fn on_shutdown_requested(&mut self, now: Nanos) {
        if self.shutdown.is_requested() {
            return;
        }
        let schedule = Schedule::new(now, self.longest_client_deadline());
        self.timers
            .set(schedule.drain_period_end, Timer::DrainPeriodEnded);
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

    /// Returns the longest client deadline of all classes.
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
        self.shutdown.is_drain_period_over = true;
        self.effects.push(Effect::StopListening);
        for client in self.clients.without_query() {
            self.effects.push(Effect::DrainClient { client });
        }
    }

    /// Handles the answer deadline. No query is open any more, since none had a later deadline.
    /// From now on, no reply waits for its usage record.
    pub(super) fn on_answer_deadline(&mut self) {
        self.log_shutdown_state("answer deadline reached");
        self.effects.push(Effect::ReleaseReplies);
    }

    /// Exits although not everything has ended, for example because a client does not read or does
    /// not close its connection.
    pub(super) fn on_exit_deadline(&mut self) {
        if !self.shutdown.is_exit_requested() {
            self.log_shutdown_state("exit deadline reached");
        }
        self.exit();
    }

    /// Requests the exit of the process once the drain period is over and no query, client or
    /// frontend is left that could need an answer.
    pub(super) fn maybe_exit(&mut self) {
        let is_all_ended = self.queries.is_empty()
            && self.clients.is_empty()
            && self.shutdown.running_frontends == 0;
        if self.shutdown.is_drain_period_over() && is_all_ended {
            self.exit();
        }
    }

    fn exit(&mut self) {
        let Some(deadline) = self.shutdown.begin_exit() else {
            return;
        };
        self.effects.push(Effect::Exit {
            counters: Box::new(self.counters.clone()),
            deadline,
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
