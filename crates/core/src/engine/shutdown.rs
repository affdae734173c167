//! Graceful shutdown: its phases, and when each ends.
//!
//! 1. **Drain period** ([`Effect::StartDraining`]): from the request on, everything goes on, since
//!    it takes a while until clients know of the shutdown. Each reply states that its connection
//!    closes.
//! 2. **End of the drain period** ([`Effect::StopListening`]): no more clients are accepted, and
//!    idle ones are closed ([`Effect::DrainClient`]). Open queries go on, and so do requests on
//!    connections that have not closed yet.
//! 3. **Answer deadline** ([`Effect::ReleaseReplies`]): every query has ended, since none has a
//!    later deadline. What still arrives is rejected at once, and no reply waits for the usage log.
//! 4. **Exit** ([`Effect::Exit`]): once no query is open, every frontend has reported that it has
//!    stopped and every client's connection that it has ended; at the latest at the **exit
//!    deadline**, without these reports. That no query is open is not enough: a request may be on
//!    its way from a connection that is still read.
//!
//! The platform may kill the process some time after the request, which depends on the longest
//! client deadline in the settings (`Schedule`). The answer deadline and the exit deadline are
//! fixed times before the earliest kill, so no phase can last until the kill.
//!
//! What the sockets do in each phase is described in [`crate::net`].

use super::effect::Effect;
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::{Event, Nanos};

/// The length of the drain period. Clients open new connections for 0.4 s after the request.
const DRAIN_PERIOD: Nanos = 500 * MILLISECOND;

/// The earliest kill comes this long after the longest client deadline has passed.
const KILL_GRACE: Nanos = 700 * MILLISECOND;

/// The longest client deadline that delays the kill; a longer one counts as this.
const MAX_COUNTED_DEADLINE: Nanos = 3_000 * MILLISECOND;

/// How long before the earliest kill every query is answered. A process may be suspended for 150 ms
/// between reading its clock and writing.
const ANSWER_MARGIN: Nanos = 200 * MILLISECOND;

/// How long before the earliest kill the process exits.
const EXIT_MARGIN: Nanos = 50 * MILLISECOND;

/// When the phases of a shutdown end.
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

/// How far a graceful shutdown has come.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// None while no shutdown was requested.
    schedule: Option<Schedule>,
    is_drain_period_over: bool,
    /// Frontends that may still hand over a request.
    running_frontends: usize,
    is_exit_requested: bool,
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
        self.is_drain_period_over
    }

    /// The engine has requested the exit of the process.
    pub(super) fn is_exit_requested(&self) -> bool {
        self.is_exit_requested
    }

    /// The exit deadline if a shutdown was requested and the exit was not: notes the exit.
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
        self.shutdown.is_drain_period_over = true;
        self.effects.push(Effect::StopListening);
        for client in self.clients.without_query() {
            self.effects.push(Effect::DrainClient { client });
        }
    }

    /// No query is open any more, since none had a later deadline. From now on no reply waits for
    /// its usage record.
    pub(super) fn on_answer_deadline(&mut self) {
        self.log_shutdown_state("answer deadline");
        self.effects.push(Effect::ReleaseReplies);
    }

    /// Exits although something has not ended: a client does not read, or does not close.
    pub(super) fn on_exit_deadline(&mut self) {
        if !self.shutdown.is_exit_requested() {
            self.log_shutdown_state("exit deadline");
        }
        self.exit();
    }

    /// Requests the exit of the process once nothing is left that could need an answer.
    pub(super) fn maybe_exit(&mut self) {
        let nothing_left = self.queries.is_empty()
            && self.clients.is_empty()
            && self.shutdown.running_frontends == 0;
        if self.shutdown.is_drain_period_over() && nothing_left {
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
