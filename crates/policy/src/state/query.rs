//! Queries, their parts and the attempts at these.

use super::ConnectionUse;
use crate::api::{
    Action, AttemptOutcome, Idempotency, Nanos, PartReceived, QueryClass, QueryReceived, ReplicaId,
    RequestId,
};
use std::collections::{BTreeMap, BTreeSet};

/// One attempt at a part.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent: Nanos,
    /// It has not ended.
    pub is_out: bool,
    /// It is known not to have been executed.
    pub not_executed: bool,
    /// Its connection was lost.
    pub connection_lost: bool,
    /// A full replica rejected it.
    pub rejected: bool,
}

impl Attempt {
    /// An attempt that is sent now.
    pub fn new(replica: ReplicaId, now: Nanos) -> Attempt {
        Attempt {
            replica,
            sent: now,
            is_out: true,
            ..Attempt::default()
        }
    }

    /// Records how the attempt ended.
    pub fn end(&mut self, outcome: AttemptOutcome) {
        use AttemptOutcome::{ConnectionLost, NotSent, Rejected, Unreachable};
        self.is_out = false;
        self.connection_lost = outcome == ConnectionLost;
        self.rejected = outcome == Rejected;
        self.not_executed = matches!(outcome, Rejected | Unreachable | NotSent);
    }
}

/// Which of the attempts at a part that were out together was answered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaceWinner {
    /// The first.
    First,
    /// A later one.
    Later,
}

/// One part of a query.
#[derive(Debug, Default)]
pub struct Part {
    /// Its identifier.
    pub id: RequestId,
    /// The shard that it asks.
    pub shard: u32,
    /// Its share of its step's weight.
    pub weight: f64,
    /// The step that it belongs to, from 1.
    pub step: u8,
    /// Its result is in.
    pub is_answered: bool,
    /// It is left out of the answer.
    pub is_dropped: bool,
    /// It counts in the overload signal already.
    pub is_judged: bool,
    /// The attempts so far.
    pub attempts: Vec<Attempt>,
}

impl Part {
    /// A part that has come in. A weight that is no number counts as none.
    pub fn new(received: &PartReceived) -> Part {
        let has_weight = received.weight.is_finite();
        Part {
            id: received.id,
            shard: received.shard,
            weight: if has_weight {
                received.weight.max(0.0)
            } else {
                0.0
            },
            ..Part::default()
        }
    }

    /// Whether an attempt has not ended.
    pub fn has_attempt_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_out)
    }

    /// Whether an attempt at this replica has not ended.
    pub fn is_out_at(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_out && attempt.replica == replica)
    }

    /// Whether an attempt was sent to this replica.
    pub fn has_tried(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == replica)
    }

    /// The first attempt that may have been executed.
    pub fn first_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.not_executed)
    }

    /// Records how the attempt with this number ended. Returns whether the first of several
    /// attempts that were out has won, or a later one; none where there was no such race.
    pub fn end_attempt(&mut self, number: u8, outcome: AttemptOutcome) -> Option<RaceWinner> {
        let number = usize::from(number);
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.end(outcome);
        }
        if outcome != AttemptOutcome::Success {
            return None;
        }
        let was_answered = std::mem::replace(&mut self.is_answered, true);
        if was_answered || !self.has_attempt_out() {
            return None;
        }
        let mut earlier = self.attempts.iter().take(number);
        Some(if earlier.all(|attempt| !attempt.is_out) {
            RaceWinner::First
        } else {
            RaceWinner::Later
        })
    }

    /// Ends the attempts that are out and requests their cancellation, if that is allowed.
    pub fn cancel_attempts(&mut self, allowed: bool, actions: &mut Vec<Action>) {
        let part = self.id;
        for (attempt, record) in (0..).zip(&mut self.attempts) {
            let was_out = std::mem::replace(&mut record.is_out, false);
            if was_out && allowed {
                actions.push(Action::CancelAttempt { part, attempt });
            }
        }
    }

    /// Until when a repeated attempt is dropped as a duplicate; none where it need not be.
    pub fn idempotency_expiry(&self, class: &QueryClass) -> Option<Nanos> {
        let has_window = class.idempotency == Idempotency::IdempotentWithKey;
        let first = self.first_executed().filter(|_| has_window)?;
        Some(first.sent + class.idempotency_window)
    }

    /// Whether one more attempt now can't have it executed twice.
    pub fn is_safe_to_repeat(&self, class: &QueryClass, now: Nanos) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                let expiry = self.idempotency_expiry(class);
                expiry.is_none_or(|expiry| now <= expiry)
            }
            Idempotency::NonIdempotent => self.first_executed().is_none(),
        }
    }

    /// Whether a full replica rejected it and no other answered.
    pub fn is_lost_to_full_replicas(&self) -> bool {
        !self.is_answered && self.attempts.iter().any(|attempt| attempt.rejected)
    }
}

/// A query that has not ended.
#[derive(Debug, Default)]
pub struct Query {
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
    /// The client waits until then.
    pub deadline: Nanos,
    /// A retry by a client that gives up its tries before the latency objective.
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
    pub parts: Vec<Part>,
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

impl Query {
    /// A query that has come in. Its objective is its deadline until it is set.
    pub fn new(received: &QueryReceived, now: Nanos) -> Query {
        let deadline = now + received.client_timeout;
        Query {
            id: received.id,
            group: received.group,
            class: usize::from(received.class),
            arrived: now,
            objective: deadline,
            deadline,
            step: 1,
            step_started: now,
            earlier_steps_complete: true,
            ..Query::default()
        }
    }

    /// Starts the second step.
    pub fn start_second_step(&mut self, now: Nanos, first_step_complete: bool) {
        self.step = 2;
        self.step_started = now;
        self.earlier_steps_complete = first_step_complete;
    }

    /// Ends all attempts that are out; see [`Part::cancel_attempts`].
    pub fn cancel_attempts(&mut self, allowed: bool, actions: &mut Vec<Action>) {
        for part in &mut self.parts {
            part.cancel_attempts(allowed, actions);
        }
    }

    /// Whether a client that comes again then can't have a part executed twice.
    pub fn is_safe_to_repeat(&self, class: &QueryClass, at: Nanos) -> bool {
        let mut parts = self.parts.iter();
        parts.all(|part| part.is_safe_to_repeat(class, at))
    }

    /// The number of replicas at which attempts lost their connections.
    pub fn replicas_lost(&self) -> usize {
        let lost = self.attempts().filter(|attempt| attempt.connection_lost);
        let replicas: BTreeSet<ReplicaId> = lost.map(|attempt| attempt.replica).collect();
        replicas.len()
    }

    /// Sets the latency objective, unless it has passed.
    pub fn set_objective(&mut self, objective: Nanos) {
        self.arrived_late = objective <= self.arrived;
        if !self.arrived_late {
            self.objective = objective.min(self.deadline);
        }
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

    /// Sums over the parts of the running step, of which some are open.
    pub fn step_sums(&self, is_open: impl Fn(&Part) -> bool) -> StepSums {
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
    pub fn step_parts(&self) -> impl Iterator<Item = &Part> + Clone {
        self.parts.iter().filter(|part| part.step == self.step)
    }

    /// All attempts at its parts.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.parts.iter().flat_map(|part| &part.attempts)
    }
}

/// An attempt that has not ended; it may outlive its query.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent: Nanos,
    /// The connection that it went out on.
    pub connection: ConnectionUse,
}

impl InFlightAttempt {
    /// An attempt that was sent then.
    pub fn new(replica: ReplicaId, sent: Nanos, connection: ConnectionUse) -> InFlightAttempt {
        InFlightAttempt {
            replica,
            sent,
            connection,
        }
    }
}

/// The open queries, found by their own identifier, their group or one of their parts.
#[derive(Debug, Default)]
pub struct QueryTable {
    queries: BTreeMap<RequestId, Query>,
    groups: BTreeMap<u32, RequestId>,
    owners: BTreeMap<RequestId, RequestId>,
}

impl QueryTable {
    /// Adds a query that has come in.
    pub fn insert(&mut self, query: Query) {
        self.groups.insert(query.group, query.id);
        self.queries.insert(query.id, query);
    }

    /// Adds a part to the query of its group and returns that query's identifier.
    pub fn insert_part(&mut self, group: u32, mut part: Part) -> Option<RequestId> {
        let owner = *self.groups.get(&group)?;
        let query = self.queries.get_mut(&owner)?;
        part.step = query.step;
        self.owners.insert(part.id, owner);
        query.parts.push(part);
        Some(owner)
    }

    /// The part with this identifier.
    pub fn part_mut(&mut self, id: RequestId) -> Option<&mut Part> {
        let query = self.queries.get_mut(self.owners.get(&id)?)?;
        query.parts.iter_mut().find(|part| part.id == id)
    }

    /// Takes a query out, to work on it; see [`QueryTable::put_back`].
    pub fn take(&mut self, id: RequestId) -> Option<Query> {
        self.queries.remove(&id)
    }

    /// Puts a query back that was taken out.
    pub fn put_back(&mut self, query: Query) {
        self.queries.insert(query.id, query);
    }

    /// Forgets what leads to a query that was taken out.
    pub fn forget(&mut self, query: &Query) {
        self.groups.remove(&query.group);
        for part in &query.parts {
            self.owners.remove(&part.id);
        }
    }

    /// The identifiers of all queries, in order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.queries.keys().copied().collect()
    }

    /// Whether no query is open.
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// The number of queries of a class, without those taken out.
    pub fn count_of_class(&self, class: usize) -> usize {
        let of_class = |query: &&Query| query.class == class;
        self.queries.values().filter(of_class).count()
    }

    /// The number of parts of open queries.
    pub fn part_count(&self) -> usize {
        self.owners.len()
    }

    /// The number of records held.
    pub fn record_count(&self) -> usize {
        self.queries.len() + self.groups.len() + self.owners.len()
    }
}
