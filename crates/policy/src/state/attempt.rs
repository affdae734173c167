//! Attempts at parts: what their parts keep of them, those in flight, and their ends.

use super::ConnectionUse;
use crate::api::{AttemptOutcome, Nanos, ReplicaId, RequestId};

/// One attempt at a part, as its part keeps it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent: Nanos,
    /// It has neither ended nor been cancelled.
    pub is_in_flight: bool,
    /// How it ended; none before its end, also if its cancellation was requested.
    outcome: Option<AttemptOutcome>,
}

impl AttemptRecord {
    /// An attempt that is sent now.
    pub fn new(replica: ReplicaId, now: Nanos) -> AttemptRecord {
        AttemptRecord {
            replica,
            sent: now,
            is_in_flight: true,
            outcome: None,
        }
    }

    /// Records how the attempt ended.
    pub fn end(&mut self, outcome: AttemptOutcome) {
        self.is_in_flight = false;
        self.outcome = Some(outcome);
    }

    /// Whether its connection was lost.
    pub fn is_connection_lost(&self) -> bool {
        self.outcome == Some(AttemptOutcome::ConnectionLost)
    }

    /// Whether a saturated replica rejected it.
    pub fn is_rejected(&self) -> bool {
        self.outcome == Some(AttemptOutcome::Rejected)
    }

    /// Whether the part may have been executed.
    pub fn may_be_executed(&self) -> bool {
        use AttemptOutcome::{NotSent, Rejected, Unreachable};
        !matches!(self.outcome, Some(Rejected | Unreachable | NotSent))
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
