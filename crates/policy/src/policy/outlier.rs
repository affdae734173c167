//! Outlier detection: replicas that swallow work are ejected, then get one call until they answer.
//!
//! Invariant: any sign of life ends an ejection; what failed stays in the smoothed latency for a
//! while. The design leaves health to us.

use super::{tuning, Policy};
use crate::api::{Action, AttemptEnded, AttemptOutcome, HealthCheckEnded, Nanos, ReplicaId};
use crate::state::{AttemptId, ConnectionUse, InFlightAttempt, RaceWinner, ReplicaRecord};
use crate::stats::{blend, exponential_backoff};
use AttemptOutcome::{
    Cancelled, ConnectionLost, Error, NotSent, Rejected, Success, TimedOut, Unreachable,
};

impl Policy {
    pub(super) fn on_attempt_ended(&mut self, ended: &AttemptEnded) {
        let attempt = self.in_flight.remove(&AttemptId {
            part: ended.part,
            number: ended.attempt,
        });
        let Some(attempt) = attempt else { return };
        // A failed connection is lost capacity where the replica was heard lately or attempts are
        // rationed; elsewhere it may just be slow, and light parts dropped for it help nobody.
        let replica = self.context.replicas.get(attempt.replica);
        let has_responded = replica.is_some_and(|replica| {
            self.context
                .latency
                .staleness(self.context.now, replica.last_response)
                < 1.0
        });
        let is_capacity_lost = has_responded || self.context.settings.retry_budget.is_some();
        self.record_outcome(attempt, ended.outcome);
        let part = self.queries.part_mut(ended.part);
        let Some(part) = part else { return };
        if let Some(winner) = part.end_attempt(ended.attempt, ended.outcome) {
            let lost = f64::from(u8::from(winner == RaceWinner::First));
            self.hedge_loss_rate = blend(self.hedge_loss_rate, lost, tuning::HEDGE_LOSS_WEIGHT);
        }
        let is_unreachable = ended.outcome == Unreachable;
        let is_missed = ended.outcome == Rejected || is_unreachable && is_capacity_lost;
        if part.is_answered || is_missed {
            self.cutoff.record(self.context.now, part, is_missed);
        }
    }

    pub(super) fn on_health_check_ended(&mut self, ended: &HealthCheckEnded) {
        match ended.outcome {
            Success => self.on_response(ended.replica),
            TimedOut | Unreachable | ConnectionLost => {
                let sent = self.context.now.saturating_sub(ended.latency);
                let check = InFlightAttempt::new(ended.replica, sent, ConnectionUse::RecentlyUsed);
                self.record_outcome(check, ended.outcome);
            }
            Error | Rejected | Cancelled | NotSent => {}
        }
    }

    pub(super) fn on_response(&mut self, id: ReplicaId) {
        let now = self.context.now;
        let replica = self.context.replicas.get_mut(id);
        let Some(replica) = replica else { return };
        for connection in replica.record_response(self.context.now) {
            self.renewal.record(now, connection, true, &mut self.output);
        }
    }

    /// Records what an attempt tells of its replica. A failure is as bad as a late answer; one that
    /// we cancelled has failed if it was overdue and nothing was heard since.
    fn record_outcome(&mut self, attempt: InFlightAttempt, outcome: AttemptOutcome) {
        let (id, sent) = (attempt.replica, attempt.sent);
        let replica = self.context.replicas.get(id);
        let Some(replica) = replica else { return };
        let age = (self.context.now - sent) as f64;
        let smoothed = self
            .context
            .latency
            .smoothed_latency(self.context.now, replica);
        let known = smoothed.max(replica.time_without_response(self.context.now) as f64);
        let sample = match outcome {
            Success => age,
            NotSent => known,
            Cancelled => age.max(known),
            _ => known.max(tuning::LATE_SHARE * self.context.objective),
        };
        let is_overdue = age > self.context.latency.hedging_delay(self.context.objective)
            && replica.last_response <= sent;
        let is_failure = outcome != Success && (outcome != Cancelled || is_overdue);
        let saturation_time = (tuning::SATURATION_SHARE * self.context.objective) as Nanos;
        let replica = self.context.replicas.get_mut(id);
        let Some(replica) = replica else { return };
        match outcome {
            Rejected => replica.saturated_until = self.context.now + saturation_time,
            Success => replica.record_result(sent, self.context.now, tuning::LATENCY_WEIGHT),
            _ => {}
        }
        replica.outstanding.remove_part(sent);
        let weight = match is_failure {
            true => tuning::FAILURE_LATENCY_WEIGHT,
            false => tuning::LATENCY_WEIGHT,
        };
        if outcome != NotSent {
            replica.record_latency(self.context.now, smoothed, sample, weight);
        }
        if is_failure && !matches!(outcome, Error | Rejected | NotSent) {
            replica.lost_connections.push(attempt.connection);
        }
        match outcome {
            Success => self.record_success(attempt, age),
            Error | Rejected => self.on_response(id),
            Unreachable | ConnectionLost | TimedOut => self.record_failure(id, sent),
            Cancelled | NotSent => {}
        }
    }

    fn record_success(&mut self, attempt: InFlightAttempt, latency: f64) {
        let now = self.context.now;
        self.slow_start.record_result(now);
        self.context.latency.record(latency);
        self.on_response(attempt.replica);
        self.renewal
            .record(now, attempt.connection, false, &mut self.output);
    }

    /// Silence, whatever its cause: the replica is ejected, longer each time.
    pub(super) fn record_failure(&mut self, id: ReplicaId, sent: Nanos) {
        let replica = self.context.replicas.get_mut(id);
        let Some(replica) = replica else { return };
        if replica.last_response > sent || self.context.now < replica.ejected_until {
            return;
        }
        let base = tuning::EJECTION_OBJECTIVES * self.context.objective;
        let max = tuning::MAX_EJECTION_OBJECTIVES * self.context.objective;
        let ejection = exponential_backoff(base, max, replica.consecutive_failures);
        replica.eject(self.context.now + ejection as Nanos);
        if !std::mem::replace(&mut self.health_checks.outlier_found, true) {
            let line = format!("replica {:x} is an outlier: it is silent", id.0);
            self.output.log(line);
        }
    }

    /// Faults at many replicas: a health check for each quiet one, before queries find them out.
    pub(super) fn check_silent_replicas(&mut self) {
        let is_time = self
            .context
            .latency
            .staleness(self.context.now, self.health_checks.last_round)
            >= 1.0;
        let is_due = self.context.settings.health_checks_allowed && is_time;
        if !is_due || !std::mem::take(&mut self.health_checks.outlier_found) {
            return;
        }
        let ready = || self.context.replicas.ready();
        let outliers = ready().filter(|(_, replica)| replica.is_outlier).count() as f64;
        if outliers < tuning::HEALTH_CHECK_SHARE * ready().count() as f64 {
            return;
        }
        let age = |replica: &ReplicaRecord| {
            self.context.now.saturating_sub(replica.last_activity()) as f64
        };
        let is_idle = |replica: &ReplicaRecord| replica.outstanding.is_empty();
        let quiet = ready()
            .filter(|(_, replica)| is_idle(replica) && age(replica) > self.context.objective);
        let checks = quiet.map(|(replica, _)| Action::CheckHealth { replica });
        self.output.actions().extend(checks);
        self.health_checks.last_round = self.context.now;
    }

    /// Whether others come first: it is silent, full, ejected, or an outlier with its one call out.
    pub(super) fn is_avoided(&self, replica: &ReplicaRecord) -> bool {
        let is_silent = replica.time_without_response(self.context.now) as f64
            > self.context.latency.hedging_delay(self.context.objective);
        let is_ejected =
            self.context.now < replica.ejected_until || !replica.outstanding.is_empty();
        is_silent || replica.is_outlier && is_ejected || self.context.now < replica.saturated_until
    }
}
