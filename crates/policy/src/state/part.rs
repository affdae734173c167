//! Parts of queries.

use super::AttemptRecord;
use crate::api::{
    Action, AttemptOutcome, Idempotency, Nanos, PartReceived, QueryClass, ReplicaId, RequestId,
};

/// Which of several attempts in flight at one part was answered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaceWinner {
    /// The first.
    First,
    /// A later one.
    Later,
}

/// One part of a query.
#[derive(Debug, Default)]
pub struct PartState {
    /// Its identifier.
    pub id: RequestId,
    /// The shard that it is about.
    pub shard: u32,
    /// Its share of its step's weight.
    pub weight: f64,
    /// The step that it belongs to, from 1.
    pub step: u8,
    /// A result has been returned.
    pub is_answered: bool,
    /// It is left out of the answer.
    pub is_dropped: bool,
    /// It has been counted in the overload signal.
    pub is_counted: bool,
    /// The attempts so far.
    pub attempts: Vec<AttemptRecord>,
}

impl PartState {
    /// A part that has been received. A weight that is not a finite number counts as 0.
    pub fn new(received: &PartReceived) -> PartState {
        let weight = if received.weight.is_finite() {
            received.weight.max(0.0)
        } else {
            0.0
        };
        PartState {
            id: received.id,
            shard: received.shard,
            weight,
            ..PartState::default()
        }
    }

    /// Whether an attempt has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Whether an attempt at this replica has not ended.
    pub fn is_in_flight_at(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_in_flight && attempt.replica == replica)
    }

    /// Whether an attempt was sent to this replica.
    pub fn was_sent_to(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == replica)
    }

    /// The first attempt that may have been executed.
    pub fn first_executed(&self) -> Option<&AttemptRecord> {
        self.attempts
            .iter()
            .find(|attempt| attempt.may_be_executed())
    }

    /// Records how the attempt with this number ended. Returns the winner if it was answered first
    /// of several attempts in flight.
    pub fn end_attempt(&mut self, number: u8, outcome: AttemptOutcome) -> Option<RaceWinner> {
        let number = usize::from(number);
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.end(outcome);
        }
        if outcome != AttemptOutcome::Success {
            return None;
        }
        let was_answered = std::mem::replace(&mut self.is_answered, true);
        if was_answered || !self.has_attempt_in_flight() {
            return None;
        }
        let mut earlier = self.attempts.iter().take(number);
        let winner = if earlier.all(|attempt| !attempt.is_in_flight) {
            RaceWinner::First
        } else {
            RaceWinner::Later
        };
        Some(winner)
    }

    /// Ends the attempts in flight and requests their cancellation, if that is allowed.
    pub fn cancel_attempts(&mut self, allowed: bool, actions: &mut Vec<Action>) {
        let part = self.id;
        for (attempt, record) in (0..).zip(&mut self.attempts) {
            let was_in_flight = std::mem::replace(&mut record.is_in_flight, false);
            if was_in_flight && allowed {
                actions.push(Action::CancelAttempt { part, attempt });
            }
        }
    }

    /// Until when the leaf server drops a repeated attempt as a duplicate; none where no attempt
    /// may have been executed or the class has no idempotency keys.
    pub fn idempotency_expiry(&self, class: &QueryClass) -> Option<Nanos> {
        let has_window = class.idempotency == Idempotency::IdempotentWithKey;
        let first = self.first_executed().filter(|_| has_window)?;
        Some(first.sent + class.idempotency_window)
    }

    /// Whether one more attempt at `at` does no harm, even if an earlier one has been executed.
    pub fn is_safe_to_repeat(&self, class: &QueryClass, at: Nanos) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                let expiry = self.idempotency_expiry(class);
                expiry.is_none_or(|expiry| at <= expiry)
            }
            Idempotency::NonIdempotent => self.first_executed().is_none(),
        }
    }

    /// Whether a saturated replica rejected it and no other answered.
    pub fn is_lost_to_saturation(&self) -> bool {
        !self.is_answered && self.attempts.iter().any(AttemptRecord::is_rejected)
    }
}
