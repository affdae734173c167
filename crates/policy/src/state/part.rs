//! The record of a part and its attempts.

use super::AttemptRecord;
use crate::api::{
    Action, AttemptOutcome, Idempotency, Nanos, PartReceived, QueryClass, ReplicaId, RequestId,
};

/// Which of several concurrent attempts at one part was answered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaceWinner {
    /// The attempt that was sent before all others in flight.
    First,
    /// An attempt that was sent after another one in flight.
    Later,
}

/// One part of an open query.
#[derive(Debug, Default)]
pub struct PartState {
    /// Identifier of the part.
    pub id: RequestId,
    /// Shard that the part queries.
    pub shard: u32,
    /// Share of the step's weight, at least 0.
    pub weight: f64,
    /// Step of the query that the part belongs to, from 1.
    pub step: u8,
    /// Whether a result has been returned.
    pub is_answered: bool,
    /// Whether admission or the weight cutoff has left the part out of the answer.
    pub is_dropped: bool,
    /// Whether the part has been counted in the overload signal.
    pub is_counted: bool,
    /// Attempts sent so far, in the order sent.
    pub attempts: Vec<AttemptRecord>,
}

impl PartState {
    /// Creates the record of a part that has been received. A weight that is negative or not finite
    /// counts as 0.
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

    /// Returns whether any attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Returns whether an attempt at this replica is in flight.
    pub fn is_in_flight_at(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_in_flight && attempt.replica == replica)
    }

    /// Returns whether any attempt was sent to this replica.
    pub fn was_sent_to(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == replica)
    }

    /// Returns the first attempt that may have been executed, if there is one.
    pub fn first_possibly_executed(&self) -> Option<&AttemptRecord> {
        self.attempts
            .iter()
            .find(|attempt| attempt.may_have_been_executed())
    }

    /// Records the outcome of the attempt with this number. Returns which attempt won if this
    /// outcome answers the part while other attempts are in flight.
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

    /// Marks all attempts as no longer in flight, and requests their cancellation if `may_cancel`.
    pub fn cancel_attempts(&mut self, may_cancel: bool, actions: &mut Vec<Action>) {
        let part = self.id;
        for (attempt, record) in (0..).zip(&mut self.attempts) {
            let was_in_flight = std::mem::replace(&mut record.is_in_flight, false);
            if was_in_flight && may_cancel {
                actions.push(Action::CancelAttempt { part, attempt });
            }
        }
    }

    /// Returns the time until which the leaf server drops a repeated attempt as a duplicate, or
    /// `None` if no attempt may have been executed or the class has no idempotency keys.
    pub fn idempotency_expiry(&self, class: &QueryClass) -> Option<Nanos> {
        let has_window = class.idempotency == Idempotency::IdempotentWithKey;
        let first_attempt = self.first_possibly_executed().filter(|_| has_window)?;
        Some(first_attempt.sent_at + class.idempotency_window)
    }

    /// Returns whether one more attempt at the time `at` does no harm, even if an earlier attempt
    /// has been executed.
    pub fn is_safe_to_repeat(&self, class: &QueryClass, at: Nanos) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                let expiry = self.idempotency_expiry(class);
                expiry.is_none_or(|expiry| at <= expiry)
            }
            Idempotency::NonIdempotent => self.first_possibly_executed().is_none(),
        }
    }

    /// Returns whether a saturated replica rejected an attempt and no replica answered the part.
    pub fn is_lost_to_saturation(&self) -> bool {
        !self.is_answered && self.attempts.iter().any(AttemptRecord::is_rejected)
    }
}
