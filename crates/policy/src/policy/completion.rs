//! Completion: when a query is answered, completely or in part, rejected or failed.
//!
//! Invariant: each query ends once, before its client's time is over, and at once when given up. An
//! answer rests on the class's minimum coverage, and is marked complete only if it is; a rejection
//! says that trying again is harmless, so it is made only where that is so.

use super::context::Context;
use super::{tuning, Policy};
use crate::api::{Action, Nanos, RequestId};
use crate::state::{PartState, QueryState, StepSums};

impl Policy {
    /// Starts a step of a query, unless overload has the query rejected.
    pub(super) fn start_step(&mut self, id: RequestId) {
        let query = self.queries.take(id);
        let Some(mut query) = query else { return };
        if query.step == 1 {
            if self.cannot_meet_objective(&mut query) || !self.admit(&mut query) {
                return self.give_up(query);
            }
            let class = self.context.class(query.class);
            self.cutoff.drop_light_parts(&mut query, class);
        }
        for index in query.lightest_first().into_iter().rev() {
            let part = &query.parts[index];
            if part.attempts.is_empty() && !part.is_dropped {
                self.send_attempt(&mut query, index);
            }
        }
        self.queries.put_back(query);
    }

    /// Ends a query if it is time to; otherwise advances its attempts.
    pub(super) fn advance(&mut self, id: RequestId) {
        let query = self.queries.take(id);
        let Some(mut query) = query else { return };
        let sums = query.step_sums(|part| self.is_open(part, &query));
        let class = self.context.class(query.class);
        let is_complete = sums.is_complete(&query, class);
        let is_sufficient = sums.is_sufficient(&query, class);
        let is_out_of_reach = sums.is_out_of_reach(&query, class);
        if is_complete || is_sufficient && self.is_time_to_answer(&query, &sums) {
            return self.answer(query, is_complete);
        }
        let is_query_of_death = is_query_of_death(&query);
        let is_idle = query.attempts().all(|attempt| !attempt.is_in_flight);
        let is_useless = is_out_of_reach || is_query_of_death && is_idle;
        if is_useless || self.context.now >= self.last_useful_moment(&query) {
            return self.give_up(query);
        }
        let waited = (self.context.now - query.step_started) as f64
            > self.context.latency.hedging_delay(self.context.objective);
        if !is_query_of_death || waited {
            self.advance_attempts(&mut query);
        }
        self.queries.put_back(query);
    }

    /// Whether a part without a result may still get one: an attempt is out or may be sent.
    fn is_open(&self, part: &PartState, query: &QueryState) -> bool {
        if part.has_attempt_in_flight() {
            return true;
        }
        let Context {
            now,
            settings,
            replicas,
            ..
        } = &self.context;
        let class = self.context.class(query.class);
        let has_budget =
            part.attempts.is_empty() || self.retry_limiter.has_budget(class, query.objective);
        let mut holders = replicas.holders(settings, part.shard);
        has_budget && self.retry_limiter.may_repeat(part, class, *now) && holders.next().is_some()
    }

    /// Whether a sufficient answer goes out: nothing more can come in, or it is just before the
    /// objective, earlier where a second step follows, or the last moment if a late complete answer
    /// earns more.
    fn is_time_to_answer(&self, query: &QueryState, sums: &StepSums) -> bool {
        let class = self.context.class(query.class);
        let value = class.partial_value * sums.answered_weight / class.completeness_threshold;
        let mut end = self.timer.safely_before(query.objective);
        if class.late_value > value {
            end = self.timer.safely_before(query.deadline);
        } else if query.step < self.context.settings.steps(query.class) {
            end = query.arrived + (end - query.arrived) / 2;
        }
        sums.all_answered || !sums.any_open || self.context.now >= end
    }

    fn last_useful_moment(&self, query: &QueryState) -> Nanos {
        let last_moment = self.timer.safely_before(query.deadline);
        let in_time = query.objective.saturating_sub(self.timer.period());
        let is_late_useful = self.may_be_late(query.class);
        let end = if is_late_useful { last_moment } else { in_time };
        end.min(last_moment)
    }

    fn answer(&mut self, mut open: QueryState, complete: bool) {
        let query = open.id;
        self.output.push(Action::Answer { query, complete });
        open.cancel_attempts(
            self.context.settings.cancellation_allowed,
            self.output.actions(),
        );
        if open.step < self.context.settings.steps(open.class) {
            open.start_second_step(self.context.now, complete);
            return self.queries.put_back(open);
        }
        let change = match self.context.now <= open.objective {
            true => tuning::PERMIT_REWARD,
            false => -tuning::PERMIT_PENALTY,
        };
        self.return_permit(&open, change);
        self.queries.forget(&open);
    }

    /// Ends a query without an answer, at once.
    fn give_up(&mut self, open: QueryState) {
        let query = open.id;
        let max_retry_after = self.context.settings.max_retry_after;
        let retry_after = (max_retry_after > 0).then_some(max_retry_after);
        let class = self.context.class(open.class);
        let end = match open.is_safe_to_repeat(class, self.context.now + max_retry_after) {
            true => Action::Reject { query, retry_after },
            false => Action::Fail { query },
        };
        self.output.push(end);
        match open.parts.iter().any(PartState::is_lost_to_saturation) {
            true => self.lose_permit(&open),
            false => self.return_permit(&open, 0.0),
        }
        self.discard(open);
    }

    /// Has every open query end by then, with the answer that it has reached, if that is enough.
    pub(super) fn shorten_deadlines(&mut self, answer_by: Nanos) {
        for id in self.queries.ids() {
            if let Some(mut query) = self.queries.take(id) {
                query.shorten_deadline(answer_by);
                self.queries.put_back(query);
            }
        }
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        let query = self.queries.take(id);
        let Some(query) = query else { return };
        self.return_permit(&query, 0.0);
        self.discard(query);
    }
}

/// Whether a query may crash replicas. It waits a while: one that met dying ones gets answers.
fn is_query_of_death(query: &QueryState) -> bool {
    let is_answered = query.parts.iter().any(|part| part.is_answered);
    !is_answered && query.replicas_lost() >= tuning::QUERY_OF_DEATH_REPLICAS
}
