//! Queries: their times, their running step and their parts.

use super::{AttemptRecord, PartState};
use crate::api::{Action, Nanos, QueryClass, QueryReceived, ReplicaId, RequestId};
use std::collections::BTreeSet;

/// Rounding error of a sum of weights, in deciding whether an answer may be given.
const ANSWERED_TOLERANCE: f64 = 1e-6;
/// Rounding error of a sum of weights, in deciding whether a minimum can still be reached.
pub const REACHABLE_TOLERANCE: f64 = 1e-4;

/// A query that has not ended.
#[derive(Debug, Default)]
pub struct QueryState {
    /// Its identifier.
    pub id: RequestId,
    /// Joins the query and its parts.
    pub group: u32,
    /// Index into the settings' classes.
    pub class: usize,
    /// When it was received.
    pub arrived: Nanos,
    /// Its latency objective, as a point in time; its deadline, if the objective had passed.
    pub objective: Nanos,
    /// When the client's timeout ends.
    pub deadline: Nanos,
    /// It is a retry by a client whose timeout is shorter than the latency objective.
    pub has_short_timeout: bool,
    /// The latency objective had passed when it was received.
    pub arrived_late: bool,
    /// It has taken a permit of its class.
    pub has_permit: bool,
    /// The step that is running, from 1.
    pub step: u8,
    /// When that step started.
    pub step_started: Nanos,
    /// The answers to earlier steps, if there are any, were complete.
    pub earlier_steps_complete: bool,
    /// Its parts, in the order received.
    pub parts: Vec<PartState>,
}

/// Counts of the parts of the running step.
#[derive(Clone, Copy, Debug)]
pub struct StepCounts {
    /// The parts that are not dropped.
    pub wanted: usize,
    /// Those of them that are answered.
    pub answered: usize,
}

/// Sums over the parts of the running step; weights are shares of the step's weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepSums {
    /// The step has parts.
    pub has_parts: bool,
    /// All parts are answered.
    pub all_answered: bool,
    /// Weight of the parts answered.
    pub answered_weight: f64,
    /// Parts may still be answered.
    pub any_open: bool,
    /// Weight of the parts that may still be answered.
    pub open_weight: f64,
}

impl StepSums {
    /// Whether the answer would be complete.
    pub fn is_complete(&self, query: &QueryState, class: &QueryClass) -> bool {
        let answered_weight = self.answered_weight + ANSWERED_TOLERANCE;
        let has_threshold = answered_weight >= class.completeness_threshold;
        let is_threshold_enough = query.step == 1 && has_threshold;
        let are_all_complete = self.all_answered && query.earlier_steps_complete;
        self.has_parts && (is_threshold_enough || are_all_complete)
    }

    /// Whether an incomplete answer may be given.
    pub fn is_sufficient(&self, query: &QueryState, class: &QueryClass) -> bool {
        let minimum = class.minimum_of_step(query.step);
        let has_minimum = self.answered_weight + ANSWERED_TOLERANCE >= minimum;
        self.answered_weight > 0.0 && has_minimum
    }

    /// Whether the minimum can't be reached any more.
    pub fn is_out_of_reach(&self, query: &QueryState, class: &QueryClass) -> bool {
        let minimum = class.minimum_of_step(query.step);
        let reachable = self.answered_weight + self.open_weight + REACHABLE_TOLERANCE;
        self.has_parts && (!self.any_open || reachable < minimum)
    }
}

impl QueryState {
    /// A query that is received now. Of its latency objective, `spent` has passed in earlier
    /// attempts of its client.
    pub fn new(
        received: &QueryReceived,
        class: &QueryClass,
        spent: Nanos,
        now: Nanos,
    ) -> QueryState {
        let deadline = now + received.client_timeout;
        let full_objective = now + class.objective_for(received.expected_work);
        let objective = full_objective.saturating_sub(spent);
        let arrived_late = objective <= now;
        let is_short = received.client_timeout < class.latency_objective;
        QueryState {
            id: received.id,
            group: received.group,
            class: usize::from(received.class),
            arrived: now,
            objective: if arrived_late {
                deadline
            } else {
                objective.min(deadline)
            },
            deadline,
            has_short_timeout: received.is_retry && spent == 0 && is_short,
            arrived_late,
            step: 1,
            step_started: now,
            earlier_steps_complete: true,
            ..QueryState::default()
        }
    }

    /// Starts the second step.
    pub fn start_second_step(&mut self, now: Nanos, first_step_complete: bool) {
        self.step = 2;
        self.step_started = now;
        self.earlier_steps_complete = first_step_complete;
    }

    /// Ends all attempts in flight; see [`PartState::cancel_attempts`].
    pub fn cancel_attempts(&mut self, allowed: bool, actions: &mut Vec<Action>) {
        for part in &mut self.parts {
            part.cancel_attempts(allowed, actions);
        }
    }

    /// Whether a retry by the client at `at` does no harm, even if parts have been executed.
    pub fn is_safe_to_repeat(&self, class: &QueryClass, at: Nanos) -> bool {
        let mut parts = self.parts.iter();
        parts.all(|part| part.is_safe_to_repeat(class, at))
    }

    /// The number of replicas at which attempts lost their connections.
    pub fn replicas_with_lost_connections(&self) -> usize {
        let lost = self
            .attempts()
            .filter(|attempt| attempt.is_connection_lost());
        let replicas: BTreeSet<ReplicaId> = lost.map(|attempt| attempt.replica).collect();
        replicas.len()
    }

    /// Moves the deadline to an earlier time, and the latency objective with it.
    pub fn shorten_deadline(&mut self, deadline: Nanos) {
        self.deadline = self.deadline.min(deadline);
        self.objective = self.objective.min(self.deadline);
    }

    /// Counts of the parts of the running step, without those dropped.
    pub fn step_counts(&self) -> StepCounts {
        let wanted = self.step_parts().filter(|part| !part.is_dropped);
        let answered = wanted.clone().filter(|part| part.is_answered);
        StepCounts {
            wanted: wanted.count(),
            answered: answered.count(),
        }
    }

    /// Sums over the parts of the running step. `is_open` states whether a part without a result
    /// may still be answered.
    pub fn step_sums(&self, is_open: impl Fn(&PartState) -> bool) -> StepSums {
        let answered = self.step_parts().filter(|part| part.is_answered);
        let wanted = self
            .step_parts()
            .filter(|part| !part.is_answered && !part.is_dropped);
        let open = wanted.filter(|part| is_open(part));
        let open: Vec<f64> = open.map(|part| part.weight).collect();
        StepSums {
            has_parts: self.step_parts().next().is_some(),
            all_answered: self.step_parts().all(|part| part.is_answered),
            answered_weight: answered.map(|part| part.weight).sum(),
            any_open: !open.is_empty(),
            open_weight: open.iter().sum(),
        }
    }

    /// The indices of its parts, lightest first.
    pub fn lightest_first(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.parts.len()).collect();
        let weight = |index: &usize| self.parts[*index].weight;
        order.sort_by(|a, b| weight(a).total_cmp(&weight(b)));
        order
    }

    /// The parts of the running step.
    pub fn step_parts(&self) -> impl Iterator<Item = &PartState> + Clone {
        self.parts.iter().filter(|part| part.step == self.step)
    }

    /// All attempts at its parts.
    pub fn attempts(&self) -> impl Iterator<Item = &AttemptRecord> {
        self.parts.iter().flat_map(|part| &part.attempts)
    }
}
