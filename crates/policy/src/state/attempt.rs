//! Records of attempts: the history of a part, attempts in flight, and their ends.

use super::ConnectionUse;
use crate::api::{AttemptOutcome, Nanos, ReplicaId, RequestId};

/// One attempt in the history of a part.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Time at which the attempt was sent.
    pub sent_at: Nanos,
    /// Whether the attempt has neither ended nor been cancelled.
    pub is_in_flight: bool,
    /// Outcome of the attempt; `None` until it ends. A cancelled attempt ends after the request to
    /// cancel it.
    outcome: Option<AttemptOutcome>,
}

impl AttemptRecord {
    /// Creates the record of an attempt that is sent now.
    pub fn new(replica: ReplicaId, now: Nanos) -> AttemptRecord {
        AttemptRecord {
            replica,
            sent_at: now,
            is_in_flight: true,
            outcome: None,
        }
    }

    /// Records how the attempt ended.
    pub fn end(&mut self, outcome: AttemptOutcome) {
        self.is_in_flight = false;
        self.outcome = Some(outcome);
    }

    /// Returns whether the attempt failed because its connection was lost.
    pub fn is_connection_lost(&self) -> bool {
        self.outcome == Some(AttemptOutcome::ConnectionLost)
    }

    /// Returns whether a saturated replica rejected the attempt.
    pub fn is_rejected(&self) -> bool {
        self.outcome == Some(AttemptOutcome::Rejected)
    }

    /// Returns whether the replica may have executed the part. This is assumed until the attempt
    /// ends.
    pub fn may_have_been_executed(&self) -> bool {
        self.outcome
            .is_none_or(AttemptOutcome::may_have_been_executed)
    }
}

/// Identifies an attempt by its part and its position in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Part that is attempted.
    pub part: RequestId,
    /// Number of the attempt among those at the same part, from 0.
    pub number: u8,
}

/// An attempt that has not ended. It may outlive its query.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Time at which the attempt was sent.
    pub sent_at: Nanos,
    /// Kind of connection that the attempt was sent on.
    pub connection: ConnectionUse,
}

impl InFlightAttempt {
    /// Creates the record of an attempt that was sent at the time `sent_at`.
    pub fn new(replica: ReplicaId, sent_at: Nanos, connection: ConnectionUse) -> InFlightAttempt {
        InFlightAttempt {
            replica,
            sent_at,
            connection,
        }
    }

    /// Ends the attempt with this outcome at the time `now`.
    pub fn end(self, outcome: AttemptOutcome, now: Nanos) -> AttemptEnd {
        AttemptEnd {
            outcome,
            replica: self.replica,
            connection: self.connection,
            sent_at: self.sent_at,
            ended_at: now,
        }
    }
}

/// The end of an attempt or of a health check, which counts as an attempt here.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Kind of connection that the attempt was sent on.
    pub connection: ConnectionUse,
    /// Time at which the attempt was sent.
    pub sent_at: Nanos,
    /// Time at which the attempt ended.
    pub ended_at: Nanos,
}

impl AttemptEnd {
    /// Returns the time from the start of the attempt to its end, ns.
    pub fn latency(&self) -> f64 {
        (self.ended_at - self.sent_at) as f64
    }

    /// Returns whether the replica returned a result.
    pub fn is_success(&self) -> bool {
        self.outcome == AttemptOutcome::Success
    }

    /// Returns whether the replica responded, with or without a result.
    pub fn is_response(&self) -> bool {
        use AttemptOutcome::{Error, Rejected, Success};
        matches!(self.outcome, Success | Error | Rejected)
    }

    /// Returns whether the replica did not respond, or did not respond in time.
    pub fn is_without_response(&self) -> bool {
        use AttemptOutcome::{ConnectionLost, TimedOut, Unreachable};
        matches!(self.outcome, Unreachable | ConnectionLost | TimedOut)
    }
}
