//! The record of a query: its deadlines, its current step and its parts.

use super::{AttemptRecord, PartState};
use crate::api::{Action, Nanos, QueryClass, QueryReceived, ReplicaId, RequestId};
use std::collections::BTreeSet;

/// Tolerance for rounding errors when the weight answered is compared with a minimum.
const ANSWERED_TOLERANCE: f64 = 1e-6;
/// Tolerance for rounding errors when the weight that can still be reached is compared with a
/// minimum.
pub const REACHABLE_TOLERANCE: f64 = 1e-4;

/// An open query.
#[derive(Debug, Default)]
pub struct QueryState {
    /// Identifier of the query.
    pub id: RequestId,
    /// Group that the query shares with its parts.
    pub group: u32,
    /// Index into [`PolicySettings::classes`](crate::api::PolicySettings::classes).
    pub class: usize,
    /// Time at which the query was received.
    pub arrived_at: Nanos,
    /// Time at which the latency objective ends, at most `deadline`; `deadline` if the query
    /// arrived late.
    pub objective: Nanos,
    /// Time at which the client timeout ends, or earlier once a shutdown has been requested.
    pub deadline: Nanos,
    /// Whether the query is marked as a retry, its client timeout is shorter than the class's
    /// latency objective, and the estimated time spent on earlier attempts is 0.
    pub has_short_timeout: bool,
    /// Whether the latency objective had passed when the query was received.
    pub is_late_arrival: bool,
    /// Whether the query has taken a permit of its class.
    pub has_permit: bool,
    /// Current step, 1 or 2.
    pub step: u8,
    /// Time at which the current step started.
    pub step_started_at: Nanos,
    /// Whether the answers to all earlier steps were complete; `true` in the first step.
    pub has_complete_earlier_steps: bool,
    /// Parts of all steps, in the order received.
    pub parts: Vec<PartState>,
}

/// Numbers of parts in the current step.
#[derive(Clone, Copy, Debug)]
pub struct StepCounts {
    /// Number of parts that are not dropped.
    pub kept: usize,
    /// Number of parts that are not dropped and are answered.
    pub answered: usize,
}

/// Sums over the parts of the current step. Weights are shares of the step's weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepSums {
    /// Whether the step has any parts.
    pub has_parts: bool,
    /// Whether all parts are answered, including dropped ones.
    pub is_fully_answered: bool,
    /// Weight of the parts that are answered.
    pub answered_weight: f64,
    /// Whether any part without a result may still be answered.
    pub has_open_parts: bool,
    /// Weight of the parts without a result that may still be answered.
    pub open_weight: f64,
}

impl StepSums {
    /// Returns whether an answer from the results so far would be complete.
    pub fn is_complete(&self, query: &QueryState, class: &QueryClass) -> bool {
        let answered_weight = self.answered_weight + ANSWERED_TOLERANCE;
        let has_threshold = answered_weight >= class.completeness_threshold;
        let is_threshold_enough = query.step == 1 && has_threshold;
        let are_all_complete = self.is_fully_answered && query.has_complete_earlier_steps;
        self.has_parts && (is_threshold_enough || are_all_complete)
    }

    /// Returns whether the results so far reach the minimum weight of an answer.
    pub fn is_sufficient(&self, query: &QueryState, class: &QueryClass) -> bool {
        let minimum = class.minimum_of_step(query.step);
        let has_minimum = self.answered_weight + ANSWERED_TOLERANCE >= minimum;
        self.answered_weight > 0.0 && has_minimum
    }

    /// Returns whether no sufficient answer can be reached any more, given that the results so far
    /// are not sufficient: no part is open, or the open parts do not reach the minimum weight. This
    /// is `false` while the step has no parts.
    pub fn is_unreachable(&self, query: &QueryState, class: &QueryClass) -> bool {
        let minimum = class.minimum_of_step(query.step);
        let reachable = self.answered_weight + self.open_weight + REACHABLE_TOLERANCE;
        self.has_parts && (!self.has_open_parts || reachable < minimum)
    }
}

impl QueryState {
    /// Creates the record of a query that is received now. `time_spent` is the time that the client
    /// has spent on earlier attempts, which shortens the latency objective.
    pub fn new(
        received: &QueryReceived,
        class: &QueryClass,
        time_spent: Nanos,
        now: Nanos,
    ) -> QueryState {
        let deadline = now + received.client_timeout;
        let full_objective = now + class.objective_for(received.expected_work);
        let objective = full_objective.saturating_sub(time_spent);
        let is_late_arrival = objective <= now;
        let is_short = received.client_timeout < class.latency_objective;
        QueryState {
            id: received.id,
            group: received.group,
            class: usize::from(received.class),
            arrived_at: now,
            objective: if is_late_arrival {
                deadline
            } else {
                objective.min(deadline)
            },
            deadline,
            has_short_timeout: received.is_retry && time_spent == 0 && is_short,
            is_late_arrival,
            step: 1,
            step_started_at: now,
            has_complete_earlier_steps: true,
            ..QueryState::default()
        }
    }

    /// Starts the second step, whose parts are received later.
    pub fn start_second_step(&mut self, now: Nanos, is_first_step_complete: bool) {
        self.step = 2;
        self.step_started_at = now;
        self.has_complete_earlier_steps = is_first_step_complete;
    }

    /// Cancels the attempts in flight at all parts; see [`PartState::cancel_attempts`].
    pub fn cancel_attempts(&mut self, may_cancel: bool, actions: &mut Vec<Action>) {
        for part in &mut self.parts {
            part.cancel_attempts(may_cancel, actions);
        }
    }

    /// Returns whether a retry by the client at the time `at` does no harm, even if parts have been
    /// executed.
    pub fn is_safe_to_repeat(&self, class: &QueryClass, at: Nanos) -> bool {
        let mut parts = self.parts.iter();
        parts.all(|part| part.is_safe_to_repeat(class, at))
    }

    /// Returns the number of replicas to which connections were lost during attempts at this
    /// query's parts.
    pub fn replicas_with_lost_connections(&self) -> usize {
        let lost_attempts = self
            .attempts()
            .filter(|attempt| attempt.is_connection_lost());
        let replicas: BTreeSet<ReplicaId> = lost_attempts.map(|attempt| attempt.replica).collect();
        replicas.len()
    }

    /// Limits the deadline to `deadline`, and the latency objective to the resulting deadline.
    pub fn shorten_deadline(&mut self, deadline: Nanos) {
        self.deadline = self.deadline.min(deadline);
        self.objective = self.objective.min(self.deadline);
    }

    /// Returns how many parts of the current step are not dropped, and how many of those are
    /// answered.
    pub fn step_counts(&self) -> StepCounts {
        let kept = self.step_parts().filter(|part| !part.is_dropped);
        let answered = kept.clone().filter(|part| part.is_answered);
        StepCounts {
            kept: kept.count(),
            answered: answered.count(),
        }
    }

    /// Returns sums over the parts of the current step. `is_open` returns whether a part without a
    /// result may still be answered.
    pub fn step_sums(&self, is_open: impl Fn(&PartState) -> bool) -> StepSums {
        let answered = self.step_parts().filter(|part| part.is_answered);
        let unanswered = self
            .step_parts()
            .filter(|part| !part.is_answered && !part.is_dropped);
        let open = unanswered.filter(|part| is_open(part));
        let open: Vec<f64> = open.map(|part| part.weight).collect();
        StepSums {
            has_parts: self.step_parts().next().is_some(),
            is_fully_answered: self.step_parts().all(|part| part.is_answered),
            answered_weight: answered.map(|part| part.weight).sum(),
            has_open_parts: !open.is_empty(),
            open_weight: open.iter().sum(),
        }
    }

    /// Returns the indices of the parts of all steps in `parts`, lightest first.
    pub fn lightest_first(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.parts.len()).collect();
        let weight = |index: &usize| self.parts[*index].weight;
        order.sort_by(|a, b| weight(a).total_cmp(&weight(b)));
        order
    }

    /// Returns the parts of the current step.
    pub fn step_parts(&self) -> impl Iterator<Item = &PartState> + Clone {
        self.parts.iter().filter(|part| part.step == self.step)
    }

    /// Returns the attempts at the parts of all steps.
    pub fn attempts(&self) -> impl Iterator<Item = &AttemptRecord> {
        self.parts.iter().flat_map(|part| &part.attempts)
    }
}
