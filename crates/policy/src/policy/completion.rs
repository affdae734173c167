//! Completion: when a query is answered, completely or in part, rejected or failed.
//!
//! Invariant: each query ends once, before its client's timeout, and at once when it can't be
//! answered any more. An answer rests on the class's minimum coverage, and is marked complete only
//! if it is. A rejection states that a retry by the client is harmless, so it is used only where
//! that is so.

use super::admission::Rejection;
use super::context::Context;
use super::{tuning, Policy};
use crate::api::{Action, Nanos, RequestId};
use crate::state::{PartState, QueryState, StepSums};

/// What happens to an open query in the running batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryDecision {
    /// It is answered from the results so far.
    Answer {
        /// The answer is complete.
        is_complete: bool,
    },
    /// It ends without an answer.
    RejectOrFail,
    /// It goes on; its attempts may be retried or hedged.
    AdvanceAttempts,
    /// It goes on, and nothing is sent for it.
    Wait,
}

impl Policy {
    /// Starts a step of a query: sends its parts, heaviest first, unless the query is rejected.
    pub(super) fn start_step(&mut self, id: RequestId) {
        let Some(mut query) = self.queries.take(id) else {
            return;
        };
        if query.step == 1 {
            if self.admit(&mut query).is_err() {
                return self.reject_or_fail(query);
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
        let Some(mut query) = self.queries.take(id) else {
            return;
        };
        match self.decide(&query) {
            QueryDecision::Answer { is_complete } => return self.answer(query, is_complete),
            QueryDecision::RejectOrFail => return self.reject_or_fail(query),
            QueryDecision::AdvanceAttempts => self.advance_attempts(&mut query),
            QueryDecision::Wait => {}
        }
        self.queries.put_back(query);
    }

    /// Has every open query end by `answer_by`, with the answer that it has by then, if that is
    /// sufficient.
    pub(super) fn shorten_deadlines(&mut self, answer_by: Nanos) {
        for id in self.queries.ids() {
            if let Some(mut query) = self.queries.take(id) {
                query.shorten_deadline(answer_by);
                self.queries.put_back(query);
            }
        }
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(query) = self.queries.take(id) else {
            return;
        };
        self.permits.give_back(&query, 0.0, &self.queries);
        self.discard(query);
    }

    /// Whether an answer after the latency objective is worth its work. It is not while permits are
    /// short: parts that wait at saturated replicas until the deadline would hold permits that
    /// other queries need to be answered in time.
    pub(super) fn accepts_late_answer(&self, class: usize) -> bool {
        self.context.class(class).late_value > 0.0 && !self.permits.is_limited(class)
    }

    fn admit(&mut self, query: &mut QueryState) -> Result<(), Rejection> {
        self.admission.check(query, &self.context)?;
        if self.permits.try_take(self.context.now, query) {
            Ok(())
        } else {
            Err(Rejection::NoPermit)
        }
    }

    fn decide(&self, query: &QueryState) -> QueryDecision {
        let class = self.context.class(query.class);
        let sums = query.step_sums(|part| self.may_be_answered(part, query));
        let is_complete = sums.is_complete(query, class);
        let is_sufficient = sums.is_sufficient(query, class);
        if is_complete || is_sufficient && self.is_time_to_answer(query, &sums) {
            return QueryDecision::Answer { is_complete };
        }
        let is_query_of_death = is_query_of_death(query);
        let is_idle = query.attempts().all(|attempt| !attempt.is_in_flight);
        let is_unanswerable = sums.is_out_of_reach(query, class) || is_query_of_death && is_idle;
        if is_unanswerable || self.context.now >= self.last_useful_moment(query) {
            return QueryDecision::RejectOrFail;
        }
        let objective = self.context.shortest_objective;
        let step_age = (self.context.now - query.step_started) as f64;
        let is_overdue = step_age > self.context.latency.hedging_delay(objective);
        if !is_query_of_death || is_overdue {
            QueryDecision::AdvanceAttempts
        } else {
            QueryDecision::Wait
        }
    }

    /// Whether a part without a result may still get one: an attempt is in flight or may be sent.
    fn may_be_answered(&self, part: &PartState, query: &QueryState) -> bool {
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
        let limiter = &self.retry_limiter;
        let has_budget = part.attempts.is_empty() || limiter.has_budget(class, query.objective);
        let mut holders = replicas.holders(settings, part.shard);
        has_budget && limiter.may_repeat(part, class, *now) && holders.next().is_some()
    }

    /// Whether to give a sufficient answer now. That is when no further result can be returned, or
    /// just before the objective; earlier if a second step follows; just before the deadline if a
    /// late complete answer has more value.
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

    /// The time from which on no answer is of value, or none can be given in time.
    fn last_useful_moment(&self, query: &QueryState) -> Nanos {
        let before_deadline = self.timer.safely_before(query.deadline);
        if self.accepts_late_answer(query.class) {
            return before_deadline;
        }
        let before_objective = query.objective.saturating_sub(self.timer.period());
        before_objective.min(before_deadline)
    }

    fn answer(&mut self, mut query: QueryState, is_complete: bool) {
        self.output.push(Action::Answer {
            query: query.id,
            complete: is_complete,
        });
        let cancellation_allowed = self.context.settings.cancellation_allowed;
        query.cancel_attempts(cancellation_allowed, self.output.actions());
        if query.step < self.context.settings.steps(query.class) {
            query.start_second_step(self.context.now, is_complete);
            return self.queries.put_back(query);
        }
        let is_in_time = self.context.now <= query.objective;
        let change = if is_in_time {
            tuning::PERMIT_REWARD
        } else {
            -tuning::PERMIT_PENALTY
        };
        self.permits.give_back(&query, change, &self.queries);
        self.queries.forget(&query);
    }

    /// Ends a query without an answer: rejects it where a retry is harmless, fails it otherwise.
    fn reject_or_fail(&mut self, query: QueryState) {
        let now = self.context.now;
        let max_retry_after = self.context.settings.max_retry_after;
        let class = self.context.class(query.class);
        let end = if query.is_safe_to_repeat(class, now + max_retry_after) {
            Action::Reject {
                query: query.id,
                retry_after: (max_retry_after > 0).then_some(max_retry_after),
            }
        } else {
            Action::Fail { query: query.id }
        };
        self.output.push(end);
        if query.parts.iter().any(PartState::is_lost_to_saturation) {
            self.permits
                .on_lost_to_saturation(now, &query, &self.queries);
        } else {
            self.permits.give_back(&query, 0.0, &self.queries);
        }
        self.discard(query);
    }

    /// Forgets a query that has ended, and cancels its attempts.
    fn discard(&mut self, mut query: QueryState) {
        let cancellation_allowed = self.context.settings.cancellation_allowed;
        query.cancel_attempts(cancellation_allowed, self.output.actions());
        self.queries.forget(&query);
    }
}

/// Whether the query appears to crash the replicas that execute it (a query of death): several
/// replicas lost their connections and no part was answered. Its attempts wait before they are
/// retried, so that a query which met failing replicas by chance can still be answered.
fn is_query_of_death(query: &QueryState) -> bool {
    let is_answered = query.parts.iter().any(|part| part.is_answered);
    !is_answered && query.replicas_with_lost_connections() >= tuning::QUERY_OF_DEATH_REPLICAS
}
