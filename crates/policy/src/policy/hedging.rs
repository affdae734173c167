//! Hedging: retries of failed parts, and a second attempt for parts that have been out too long.
//!
//! Invariant: hedged requests feed an overload, so their number is capped, and nearly all are given
//! up where they lose the race against the first attempt.

use super::{tuning, Policy};
use crate::state::{PartState, QueryState};

impl Policy {
    /// Judges lateness, and sends again what failed or has been out too long.
    pub(super) fn advance_attempts(&mut self, query: &mut QueryState) {
        let sums = query.step_counts();
        let is_mostly_answered = 2 * sums.answered >= sums.wanted;
        let late_after = tuning::LATE_SHARE * self.context.settings.step_objective(query.class);
        let is_late = (self.context.now - query.step_started) as f64 > late_after;
        for index in 0..query.parts.len() {
            let part = &mut query.parts[index];
            if part.is_answered {
                part.cancel_attempts(
                    self.context.settings.cancellation_allowed,
                    self.output.actions(),
                );
            }
            if part.is_answered || part.is_dropped || part.step != query.step {
                continue;
            }
            if is_late {
                self.cutoff.record(self.context.now, part, true);
            }
            if !part.has_attempt_in_flight() {
                self.retry(query, index);
            } else if self.should_hedge(query, &query.parts[index], is_mostly_answered) {
                self.hedge(query, index);
            }
        }
    }

    /// The first retry goes at once; later ones wait, so that no part spends all in one bad moment.
    fn retry(&mut self, query: &mut QueryState, index: usize) {
        let attempts = &query.parts[index].attempts;
        let age = attempts
            .last()
            .map_or(0, |last| self.context.now - last.sent) as f64;
        let wait = tuning::MIN_WAIT_SHARE * self.context.settings.step_objective(query.class);
        if attempts.len() < 2 || age > wait {
            self.send_attempt(query, index);
        }
    }

    /// Whether the last attempt is slow, the rest of the query or its replica's silence confirms
    /// that, and another replica is likely to be faster.
    fn should_hedge(&mut self, query: &QueryState, part: &PartState, is_confirmed: bool) -> bool {
        let last = part.attempts.last();
        let Some(last) = last else { return false };
        let age = (self.context.now - last.sent) as f64;
        let replica = self.context.replicas.get(last.replica);
        let is_silent = replica.is_none_or(|replica| replica.last_response <= last.sent);
        let is_slow = age
            > self
                .context
                .latency
                .hedging_delay(self.context.settings.step_objective(query.class));
        if !is_slow || !(is_confirmed || is_silent) {
            return false;
        }
        let other = self.select_replica(part);
        let other = other.and_then(|id| self.context.replicas.get(id));
        let Some(other) = other else { return false };
        let calls = other.open_calls(self.context.now, self.context.settings.parts_per_call());
        let expected = self
            .context
            .latency
            .smoothed_latency(self.context.now, other)
            * (calls + 1.0);
        expected < age && self.may_hedge()
    }

    fn hedge(&mut self, query: &mut QueryState, index: usize) {
        let last = query.parts[index].attempts.last().cloned();
        let Some(last) = last else { return };
        if self.send_attempt(query, index) {
            self.record_failure(last.replica, last.sent);
        }
    }

    fn may_hedge(&self) -> bool {
        let parts = self.received.len().max(self.queries.part_count()) as f64;
        let limit = tuning::MAX_HEDGE_FACTOR - tuning::HEDGE_FACTOR_SLOPE * self.hedge_loss_rate;
        let further = tuning::HEDGE_RATIO * parts * limit.clamp(0.0, 1.0);
        (self.retries.len() as f64) < tuning::MIN_HEDGES + further
    }
}
