//! Handles the end of an attempt: `record_end_at_replica` updates the measurements of replicas and
//! connections, `record_end_at_part` those of parts and queries.

use super::context::Context;
use super::{tuning, Policy};
use crate::api::{AttemptEnded, AttemptOutcome, HealthCheckEnded, Nanos, ReplicaId};
use crate::state::{AttemptEnd, AttemptKey, ConnectionUse, InFlightAttempt, ReplicaRecord};
use AttemptOutcome::{
    Cancelled, ConnectionLost, Error, NotSent, Rejected, Success, TimedOut, Unreachable,
};

impl Policy {
    pub(super) fn on_attempt_ended(&mut self, ended: &AttemptEnded) {
        let key = AttemptKey {
            part: ended.part,
            number: ended.attempt,
        };
        let Some(attempt) = self.in_flight.remove(&key) else {
            return;
        };
        let is_missed = self.indicates_missing_capacity(&attempt, ended.outcome);
        self.record_end_at_replica(attempt, ended.outcome);
        self.record_end_at_part(key, ended.outcome, is_missed);
    }

    pub(super) fn on_health_check_ended(&mut self, ended: &HealthCheckEnded) {
        match ended.outcome {
            Success => self.on_response(ended.replica),
            TimedOut | Unreachable | ConnectionLost => {
                let sent_at = self.context.now.saturating_sub(ended.latency);
                let connection = ConnectionUse::RecentlyUsed;
                let check = InFlightAttempt::new(ended.replica, sent_at, connection);
                self.record_end_at_replica(check, ended.outcome);
            }
            Error | Rejected | Cancelled | NotSent => {}
        }
    }

    /// Handles a response that does not end an attempt: the start of a streamed response, or the
    /// reply to a health check.
    pub(super) fn on_response(&mut self, id: ReplicaId) {
        let now = self.context.now;
        if let Some(replica) = self.context.replicas.get_mut(id) {
            let lost_connections = replica.record_response(now);
            self.renewal
                .record_losses(now, lost_connections, &mut self.output);
        }
    }

    /// Returns whether the end of the attempt indicates missing capacity. This is the case if the
    /// part was rejected. If the replica was unreachable, it is the case if the replica responded
    /// recently or a retry budget limits attempts; otherwise connecting may just be slow, and
    /// dropping light parts would not help.
    fn indicates_missing_capacity(
        &self,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
    ) -> bool {
        let Context { now, latency, .. } = &self.context;
        let is_recent = |response_at: Nanos| latency.staleness(*now, response_at) < 1.0;
        let replica = self.context.replicas.get(attempt.replica);
        let has_responded_recently =
            replica.is_some_and(|replica| is_recent(replica.last_response));
        let is_capacity_lost =
            has_responded_recently || self.context.settings.retry_budget.is_some();
        outcome == Rejected || outcome == Unreachable && is_capacity_lost
    }

    /// Updates the replica's record and the measurements over all replicas.
    fn record_end_at_replica(&mut self, attempt: InFlightAttempt, outcome: AttemptOutcome) {
        let Some(replica) = self.context.replicas.get(attempt.replica) else {
            return;
        };
        let end = attempt.end(outcome, self.context.now);
        let update = ReplicaUpdate::new(end, replica, &self.context);
        let Some(replica) = self.context.replicas.get_mut(end.replica) else {
            return;
        };
        update.mark_saturated(replica);
        update.record_result_interval(replica);
        replica.outstanding.remove_part(end.sent_at);
        update.record_latency(replica);
        update.record_lost_connection(replica);
        let lost_connections = update.record_response(replica);
        self.slow_start.on_attempt_end(&end);
        self.context.latency.on_attempt_end(&end);
        self.renewal
            .on_attempt_end(&end, lost_connections, &mut self.output);
        self.outliers
            .on_attempt_end(&end, replica, &mut self.output);
    }

    /// Updates the part's record and the measurements over all parts.
    fn record_end_at_part(&mut self, key: AttemptKey, outcome: AttemptOutcome, is_missed: bool) {
        let Some(part) = self.queries.part_mut(key.part) else {
            return;
        };
        if let Some(winner) = part.end_attempt(key.number, outcome) {
            self.hedging.record_race(winner);
        }
        if part.is_answered || is_missed {
            self.cutoff.record(self.context.now, part, is_missed);
        }
    }
}

/// Changes to a replica's record at the end of an attempt.
#[derive(Debug)]
struct ReplicaUpdate {
    end: AttemptEnd,
    /// Whether the attempt counts as a failure of the replica. A cancelled attempt does so only if
    /// it was overdue and the replica had not responded since the attempt was sent.
    is_failure: bool,
    /// Smoothed latency of the replica before the end of the attempt, ns.
    smoothed_latency: f64,
    /// Sample for the smoothed latency, ns. For a failure other than a cancellation, the sample is
    /// at least the latency of a late answer.
    latency_sample: f64,
    /// Time for which the replica counts as saturated if it rejected the attempt.
    saturation_time: Nanos,
}

impl ReplicaUpdate {
    /// Evaluates the end of an attempt against the replica's record before that end.
    fn new(end: AttemptEnd, replica: &ReplicaRecord, context: &Context) -> ReplicaUpdate {
        let now = context.now;
        let latency = end.latency();
        let smoothed_latency = context.latency.smoothed_latency(now, replica);
        let known_latency = smoothed_latency.max(replica.time_without_response(now) as f64);
        let latency_sample = match end.outcome {
            Success => latency,
            NotSent => known_latency,
            Cancelled => latency.max(known_latency),
            _ => known_latency.max(tuning::LATE_SHARE * context.shortest_objective),
        };
        let hedging_delay = context.latency.hedging_delay(context.shortest_objective);
        let is_overdue = latency > hedging_delay && replica.last_response <= end.sent_at;
        ReplicaUpdate {
            end,
            is_failure: end.outcome != Success && (end.outcome != Cancelled || is_overdue),
            smoothed_latency,
            latency_sample,
            saturation_time: (tuning::SATURATION_SHARE * context.shortest_objective) as Nanos,
        }
    }

    /// Marks the replica as saturated if it rejected the attempt.
    fn mark_saturated(&self, replica: &mut ReplicaRecord) {
        if self.end.outcome == Rejected {
            replica.saturated_until = self.end.ended_at + self.saturation_time;
        }
    }

    fn record_result_interval(&self, replica: &mut ReplicaRecord) {
        if self.end.is_success() {
            replica.record_result(self.end.sent_at, self.end.ended_at, tuning::LATENCY_WEIGHT);
        }
    }

    fn record_latency(&self, replica: &mut ReplicaRecord) {
        if self.end.outcome == NotSent {
            return;
        }
        let weight = if self.is_failure {
            tuning::FAILURE_LATENCY_WEIGHT
        } else {
            tuning::LATENCY_WEIGHT
        };
        let (smoothed, sample) = (self.smoothed_latency, self.latency_sample);
        replica.record_latency(self.end.ended_at, smoothed, sample, weight);
    }

    /// Records the connection of a failed attempt as possibly lost if the replica did not respond.
    fn record_lost_connection(&self, replica: &mut ReplicaRecord) {
        if self.is_failure && !matches!(self.end.outcome, Error | Rejected | NotSent) {
            replica.lost_connections.push(self.end.connection);
        }
    }

    /// Records a response if the attempt ended with one. Returns the connections of the attempts
    /// that were lost since the previous response.
    fn record_response(&self, replica: &mut ReplicaRecord) -> Vec<ConnectionUse> {
        if self.end.is_response() {
            replica.record_response(self.end.ended_at)
        } else {
            Vec::new()
        }
    }
}
