//! Completion: decides when a query ends, and whether with a complete answer, a partial answer, a
//! rejection or a failure.
//!
//! Invariants:
//! - Each query ends once, before its client timeout, and as soon as it can no longer be answered.
//! - An answer has the class's minimum coverage, and is marked complete only if it is complete.
//! - A rejection tells the client that a retry is harmless, so a query is rejected only if that is
//!   true.

use super::admission::Rejection;
use super::context::Context;
use super::{tuning, Policy};
use crate::api::{Action, Nanos, RequestId};
use crate::state::{PartState, QueryState, StepSums};

/// Decision about an open query in the current batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryDecision {
    /// Answer the query from the results so far.
    Answer { is_complete: bool },
    /// End the query without an answer.
    RejectOrFail,
    /// Keep the query open, and send retries and hedged requests for its parts.
    AdvanceAttempts,
    /// Keep the query open without further attempts.
    Wait,
}

impl Policy {
    /// Starts a step of a query: sends the step's parts, heaviest first, unless the query is
    /// rejected.
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

    /// Decides about an open query, and answers, rejects, fails or advances it accordingly.
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

    /// Limits the deadline of every open query to `answer_by`. A query whose results are sufficient
    /// by then is answered.
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
        self.permits.release(&query, 0.0, &self.queries);
        self.discard(query);
    }

    /// Returns whether a query of this class is still worth answering after its latency objective.
    /// It is not while permits limit the class: parts that wait at saturated replicas until the
    /// deadline would hold permits that other queries need to be answered in time.
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
        let is_unanswerable = sums.is_unreachable(query, class) || is_query_of_death && is_idle;
        if is_unanswerable || self.context.now >= self.latest_answer_time(query) {
            return QueryDecision::RejectOrFail;
        }
        let objective = self.context.shortest_objective;
        let step_age = (self.context.now - query.step_started_at) as f64;
        let is_overdue = step_age > self.context.latency.hedging_delay(objective);
        if !is_query_of_death || is_overdue {
            QueryDecision::AdvanceAttempts
        } else {
            QueryDecision::Wait
        }
    }

    /// Returns whether a part without a result may still get one, either from an attempt in flight
    /// or from an attempt that may still be sent.
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

    /// Returns whether to answer a query with sufficient results now. The answer is sent when no
    /// further result can arrive, and at the latest:
    /// - just before the deadline if a late complete answer would have more value,
    /// - halfway to the latency objective if a second step follows,
    /// - just before the latency objective otherwise.
    fn is_time_to_answer(&self, query: &QueryState, sums: &StepSums) -> bool {
        let class = self.context.class(query.class);
        let value = class.partial_value * sums.answered_weight / class.completeness_threshold;
        let mut answer_by = self.timer.safely_before(query.objective);
        if class.late_value > value {
            answer_by = self.timer.safely_before(query.deadline);
        } else if query.step < self.context.settings.steps(query.class) {
            answer_by = query.arrived_at + (answer_by - query.arrived_at) / 2;
        }
        sums.is_fully_answered || !sums.has_open_parts || self.context.now >= answer_by
    }

    /// Returns the time from which the query is no longer answered, since the answer would have no
    /// value or might miss the deadline.
    fn latest_answer_time(&self, query: &QueryState) -> Nanos {
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
        self.permits.release(&query, change, &self.queries);
        self.queries.forget(&query);
    }

    /// Ends a query without an answer: rejects it if a retry by the client is harmless, and fails
    /// it otherwise.
    fn reject_or_fail(&mut self, query: QueryState) {
        let now = self.context.now;
        let max_retry_after = self.context.settings.max_retry_after;
        let class = self.context.class(query.class);
        let action = if query.is_safe_to_repeat(class, now + max_retry_after) {
            Action::Reject {
                query: query.id,
                retry_after: (max_retry_after > 0).then_some(max_retry_after),
            }
        } else {
            Action::Fail { query: query.id }
        };
        self.output.push(action);
        if query.parts.iter().any(PartState::is_lost_to_saturation) {
            self.permits
                .on_lost_to_saturation(now, &query, &self.queries);
        } else {
            self.permits.release(&query, 0.0, &self.queries);
        }
        self.discard(query);
    }

    /// Cancels the attempts of a query that has ended, and removes its records.
    fn discard(&mut self, mut query: QueryState) {
        let cancellation_allowed = self.context.settings.cancellation_allowed;
        query.cancel_attempts(cancellation_allowed, self.output.actions());
        self.queries.forget(&query);
    }
}

/// Returns whether the query appears to crash the replicas that execute it (a query of death):
/// connections to several replicas were lost and no part is answered. Such a query ends once no
/// attempt is in flight, and gets no retry before the hedging delay has passed since the start of
/// its step. A query that was sent to failing replicas by chance can thus still be answered.
fn is_query_of_death(query: &QueryState) -> bool {
    let is_answered = query.parts.iter().any(|part| part.is_answered);
    !is_answered && query.replicas_with_lost_connections() >= tuning::QUERY_OF_DEATH_REPLICAS
}
