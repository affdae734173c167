//! Parts of queries and the attempts at them.

use super::ConnectionUse;
use crate::api::{
    Action, AttemptOutcome, Idempotency, Nanos, PartReceived, QueryClass, ReplicaId, RequestId,
};

/// One attempt at a part.
#[derive(Clone, Debug, Default)]
pub struct AttemptRecord {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent: Nanos,
    /// It has not ended.
    pub is_in_flight: bool,
    /// It is known not to have been executed.
    pub not_executed: bool,
    /// Its connection was lost.
    pub connection_lost: bool,
    /// A saturated replica rejected it.
    pub rejected: bool,
}

impl AttemptRecord {
    /// An attempt that is sent now.
    pub fn new(replica: ReplicaId, now: Nanos) -> AttemptRecord {
        AttemptRecord {
            replica,
            sent: now,
            is_in_flight: true,
            ..AttemptRecord::default()
        }
    }

    /// Records how the attempt ended.
    pub fn end(&mut self, outcome: AttemptOutcome) {
        use AttemptOutcome::{ConnectionLost, NotSent, Rejected, Unreachable};
        self.is_in_flight = false;
        self.connection_lost = outcome == ConnectionLost;
        self.rejected = outcome == Rejected;
        self.not_executed = matches!(outcome, Rejected | Unreachable | NotSent);
    }
}

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
        self.attempts.iter().find(|attempt| !attempt.not_executed)
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

    /// Whether one more attempt now does no harm, even if an earlier one has been executed.
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

    /// Whether a saturated replica rejected it and no other answered.
    pub fn is_lost_to_saturation(&self) -> bool {
        !self.is_answered && self.attempts.iter().any(|attempt| attempt.rejected)
    }
}

/// Identifies an attempt: its part and its number, from 0 in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The part.
    pub part: RequestId,
    /// The number of the attempt.
    pub number: u8,
}

/// An attempt that has not ended; it may outlive its query.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent: Nanos,
    /// The connection that it was sent on.
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

    /// The attempt's end.
    pub fn end(self, outcome: AttemptOutcome, now: Nanos) -> AttemptEnd {
        AttemptEnd {
            outcome,
            replica: self.replica,
            connection: self.connection,
            sent: self.sent,
            ended: now,
        }
    }
}

/// The end of an attempt or of a health check at a replica.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// The connection that it was sent on.
    pub connection: ConnectionUse,
    /// When it was sent.
    pub sent: Nanos,
    /// When it ended.
    pub ended: Nanos,
}

impl AttemptEnd {
    /// The time from its start to its end, ns.
    pub fn latency(&self) -> f64 {
        (self.ended - self.sent) as f64
    }

    /// Whether a result was returned.
    pub fn is_success(&self) -> bool {
        self.outcome == AttemptOutcome::Success
    }

    /// Whether the replica responded, with or without a result.
    pub fn is_response(&self) -> bool {
        use AttemptOutcome::{Error, Rejected, Success};
        matches!(self.outcome, Success | Error | Rejected)
    }

    /// Whether the replica did not respond, or not in time.
    pub fn is_without_response(&self) -> bool {
        use AttemptOutcome::{ConnectionLost, TimedOut, Unreachable};
        matches!(self.outcome, Unreachable | ConnectionLost | TimedOut)
    }
}
