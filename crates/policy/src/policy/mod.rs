//! Every decision of a policy, one concern to a file, and the order of the phases of a batch.
//!
//! Invariant: the same settings, seed and batches of events give the same actions.

mod admission;
mod completion;
mod connection_renewal;
mod cutoff;
mod endpoint_list;
mod hedging;
mod outlier;
mod replica_selection;
mod retry;
mod slow_start;
mod tuning;

use crate::api::*;
use crate::state::REACHABLE_TOLERANCE;
use crate::state::{
    ConnectionUse, InFlightAttempt, PartState, QueryState, RaceWinner, ReplicaRecord, StepSums,
};
use crate::stats::{blend, exponential_backoff, uniform, MajorityVote, TokenBucket};
use crate::Policy;
use std::collections::BTreeSet;
use std::ops::Range;

impl Policy {
    /// Handles what happened by `now`, in order, and appends what to do about it to `actions`.
    pub fn handle(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.poll_endpoints();
        let mut new_queries = BTreeSet::new();
        for event in events {
            self.on_event(event, &mut new_queries);
        }
        self.expire_windows(tuning::RECENT_WINDOW, tuning::OVERLOAD_WINDOW);
        self.move_cutoff();
        for id in new_queries {
            self.start_step(id);
        }
        for id in self.queries.ids() {
            self.advance(id);
        }
        self.check_silent_replicas();
        let log_lines = self.log_lines.drain(..).map(Action::Log);
        self.actions.extend(log_lines);
        self.set_timer(self.timer_period());
        actions.append(&mut self.actions);
    }

    fn on_event(&mut self, event: &Event, new_queries: &mut BTreeSet<RequestId>) {
        match event {
            Event::EndpointsUpdated { kind, entries } => self.on_endpoints_updated(*kind, entries),
            Event::QueryReceived(query) => self.on_query_received(query),
            Event::PartReceived(part) => new_queries.extend(self.on_part_received(part)),
            Event::AttemptEnded(ended) => self.on_attempt_ended(ended),
            Event::ResponseStarted { replica, .. } => self.on_response(*replica),
            Event::HealthCheckEnded(ended) => self.on_health_check_ended(ended),
            Event::ClientDisconnected { id } => {
                new_queries.remove(id);
                self.on_client_disconnected(*id);
            }
            Event::ShutdownRequested { answer_by } => self.shorten_deadlines(*answer_by),
            Event::TimerFired { .. } | Event::GossipReceived { .. } => {}
        }
    }

    fn timer_period(&self) -> Nanos {
        let period = self.objective as Nanos / tuning::PERIODS_PER_OBJECTIVE;
        period.max(2 * self.settings.tick).max(1)
    }

    /// A few timer periods before a point in time that must not be missed.
    fn before(&self, at: Nanos) -> Nanos {
        at.saturating_sub(tuning::SPARE_PERIODS * self.timer_period())
    }
}
