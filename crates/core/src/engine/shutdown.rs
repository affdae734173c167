//! Graceful shutdown.
//!
//! During the drain period everything goes on, since clients learn of the shutdown with a delay.
//! Then no more clients are accepted and idle ones are closed; the process exits once every query
//! is answered and every client is gone, and at the latest at the shutdown deadline.

use super::effect::Effect;
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::Nanos;

/// How long all goes on after a shutdown was requested: clients still open connections, and use
/// theirs, for 0.7 s after SIGTERM.
const DRAIN_PERIOD: Nanos = 750 * MILLISECOND;

/// How far a graceful shutdown has come.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    requested_at: Option<Nanos>,
    drain_period_ended: bool,
    exited: bool,
}

impl ShutdownState {
    pub(super) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// When the shutdown was requested.
    pub(super) fn requested_at(&self) -> Option<Nanos> {
        self.requested_at
    }

    /// No more clients are accepted, and each connection is closed after its reply.
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
        self.shutdown.requested_at = Some(now);
        let until_deadline = DRAIN_PERIOD.max(self.longest_client_deadline());
        self.timers.set(now + DRAIN_PERIOD, Timer::DrainPeriodEnded);
        self.timers
            .set(now + until_deadline, Timer::ShutdownDeadline);
    }

    fn log_shutdown_state(&self, state: &str) {
        let clients = self.clients.len();
        let open_queries = self.queries.len();
        tracing::info!(clients, open_queries, "{state}");
    }

    /// The longest that a client of any class waits.
    pub(super) fn longest_client_deadline(&self) -> Nanos {
        let deadlines = self.settings.deadlines.iter();
        deadlines.max().copied().unwrap_or_default()
    }

    pub(super) fn on_drain_period_ended(&mut self) {
        self.log_shutdown_state("drain period ended");
        self.shutdown.drain_period_ended = true;
        self.effects.push(Effect::StopListening);
        let idle_clients = self.clients.without_query();
        self.effects
            .extend(idle_clients.map(|client| Effect::CloseClient { client }));
    }

    /// Fails the queries that are still open: a kill may follow.
    pub(super) fn on_shutdown_deadline(&mut self, now: Nanos) {
        self.log_shutdown_state("shutdown deadline");
        for query in self.queries.open_ids() {
            self.on_reply_deadline(now, query);
        }
        self.clients.clear();
    }

    /// Requests the exit of the process once every query that was admitted is answered and every
    /// client's connection has ended.
    pub(super) fn maybe_exit(&mut self) {
        let all_done = self.queries.is_empty() && self.clients.is_empty();
        if !self.shutdown.drain_period_ended || self.shutdown.exited || !all_done {
            return;
        }
        self.shutdown.exited = true;
        self.record_final_watermark();
        let counters = Box::new(self.counters.clone());
        self.effects.push(Effect::Exit(counters));
    }
}
