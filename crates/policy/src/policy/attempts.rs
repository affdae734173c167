//! Sends attempts: the first attempt at each part, retries and hedged requests.

use super::replica_selection::ReplicaSelector;
use super::{tuning, Policy};
use crate::api::{Action, ReplicaId};
use crate::state::{
    AttemptKey, AttemptRecord, ConnectionUse, InFlightAttempt, PartState, QueryState,
};

impl Policy {
    /// Records late parts of the current step, cancels attempts that are no longer needed, and
    /// sends retries and hedged requests.
    pub(super) fn advance_attempts(&mut self, query: &mut QueryState) {
        let now = self.context.now;
        let counts = query.step_counts();
        let is_half_answered = 2 * counts.answered >= counts.kept;
        let step_objective = self.context.settings.step_objective(query.class);
        let late_after = tuning::LATE_SHARE * step_objective;
        let is_late = (now - query.step_started_at) as f64 > late_after;
        for index in 0..query.parts.len() {
            let part = &mut query.parts[index];
            if part.is_answered {
                let allowed = self.context.settings.cancellation_allowed;
                part.cancel_attempts(allowed, self.output.actions());
            }
            if part.is_answered || part.is_dropped || part.step != query.step {
                continue;
            }
            if is_late {
                self.cutoff.record(now, part, true);
            }
            if !part.has_attempt_in_flight() {
                self.retry(query, index);
            } else if self.should_hedge(query, &query.parts[index], is_half_answered) {
                self.hedge(query, index);
            }
        }
    }

    /// Sends a part to the best available replica. Returns `false` without sending the part if the
    /// attempt would time out at once or is not allowed, or if no replica is available.
    pub(super) fn send_attempt(&mut self, query: &mut QueryState, index: usize) -> bool {
        let class = query.class;
        let times_out_at = if self.accepts_late_answer(class) {
            query.deadline
        } else {
            query.objective
        };
        let part = &mut query.parts[index];
        if times_out_at <= self.context.now || !self.may_attempt(part, class) {
            return false;
        }
        let Some(replica) = self.select_replica(part) else {
            return false;
        };
        let latest_start = part.idempotency_expiry(self.context.class(class));
        self.record_attempt(part, replica);
        self.output.push(Action::SendAttempt {
            part: part.id,
            replica,
            times_out_at,
            latest_start,
        });
        true
    }

    /// Sends a part without an attempt in flight again, or for the first time if no replica was
    /// available before. The first retry is sent at once; later retries wait, so that a brief
    /// outage does not use up all attempts.
    fn retry(&mut self, query: &mut QueryState, index: usize) {
        let attempts = &query.parts[index].attempts;
        let now = self.context.now;
        let age = attempts.last().map_or(0, |last| now - last.sent_at) as f64;
        let step_objective = self.context.settings.step_objective(query.class);
        let wait = tuning::MIN_WAIT_SHARE * step_objective;
        if attempts.len() < 2 || age > wait {
            self.send_attempt(query, index);
        }
    }

    /// Returns whether to hedge the last attempt at a part. All of these conditions must be met:
    /// - The attempt is older than the hedging delay.
    /// - At least half of the step's parts are answered, or the attempt's replica has not responded
    ///   since the attempt was sent.
    /// - The expected latency at another replica is less than the age of the attempt.
    /// - The hedging budget allows one more hedged request.
    ///
    /// `may_attempt` checks the conditions that apply to every further attempt.
    fn should_hedge(
        &mut self,
        query: &QueryState,
        part: &PartState,
        is_half_answered: bool,
    ) -> bool {
        let Some(last) = part.attempts.last() else {
            return false;
        };
        let now = self.context.now;
        let age = (now - last.sent_at) as f64;
        let step_objective = self.context.settings.step_objective(query.class);
        let is_slow = age > self.context.latency.hedging_delay(step_objective);
        let replica = self.context.replicas.get(last.replica);
        let is_unresponsive = replica.is_none_or(|replica| replica.last_response <= last.sent_at);
        if !is_slow || !(is_half_answered || is_unresponsive) {
            return false;
        }
        let selected = self.select_replica(part);
        let Some(other) = selected.and_then(|id| self.context.replicas.get(id)) else {
            return false;
        };
        let calls = other.open_calls(now, self.context.settings.parts_per_call());
        let expected_latency = self.context.latency.smoothed_latency(now, other) * (calls + 1.0);
        let open_parts = self.queries.part_count();
        expected_latency < age && self.hedging.allows_hedge(&self.retry_limiter, open_parts)
    }

    /// Sends a hedged request, and records that the replica of the previous attempt did not respond
    /// in time.
    fn hedge(&mut self, query: &mut QueryState, index: usize) {
        let Some(last) = query.parts[index].attempts.last().cloned() else {
            return;
        };
        if !self.send_attempt(query, index) {
            return;
        }
        let now = self.context.now;
        if let Some(replica) = self.context.replicas.get_mut(last.replica) {
            self.outliers
                .on_no_response(now, replica, last.sent_at, &mut self.output);
        }
    }

    /// Returns whether one more attempt, in addition to those in flight, is allowed and within the
    /// retry budget.
    fn may_attempt(&self, part: &PartState, class: usize) -> bool {
        let now = self.context.now;
        let class = self.context.class(class);
        if part.attempts.is_empty() {
            return self.retry_limiter.may_repeat(part, class, now);
        }
        let hedging_allowed = self.context.settings.hedging_allowed;
        let is_allowed = hedging_allowed || !part.has_attempt_in_flight();
        is_allowed
            && self.retry_limiter.may_repeat(part, class, now)
            && self.retry_limiter.has_budget(class, now)
    }

    fn select_replica(&mut self, part: &PartState) -> Option<ReplicaId> {
        let selector = ReplicaSelector::new(&self.context, &self.slow_start);
        selector.select(part, &mut self.random)
    }

    /// Adds an attempt that is sent now to the records of the part, the replica and the retry
    /// limiter.
    fn record_attempt(&mut self, part: &mut PartState, id: ReplicaId) {
        let now = self.context.now;
        let connection = self.connection_for(id);
        if !part.attempts.is_empty() {
            self.retry_limiter.record_retry(now);
        }
        let key = AttemptKey {
            part: part.id,
            number: part.attempts.len() as u8,
        };
        let in_flight = InFlightAttempt::new(id, now, connection);
        self.in_flight.insert(key, in_flight);
        part.attempts.push(AttemptRecord::new(id, now));
        let recent_since = self.slow_start.window_start(now);
        if let Some(replica) = self.context.replicas.get_mut(id) {
            replica.record_part(now, recent_since);
        }
    }

    /// Returns the kind of connection that an attempt sent now will use. Parts of one call share a
    /// connection. If the connection is to be renewed, requests that the
    /// idle connections be closed first.
    fn connection_for(&mut self, id: ReplicaId) -> ConnectionUse {
        let now = self.context.now;
        let Some(replica) = self.context.replicas.get_mut(id) else {
            return ConnectionUse::RecentlyUsed;
        };
        if !replica.outstanding.has_call_of(now) {
            replica.connection = self.renewal.connection_for_call(now, replica);
            if replica.connection == ConnectionUse::Renewed {
                let close = Action::CloseIdleConnections { replica: id };
                self.output.push(close);
            }
        }
        replica.connection
    }
}
