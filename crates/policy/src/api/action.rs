//! The actions that a policy requests.

use super::{Nanos, ReplicaId, RequestId};

/// One action that the policy requests. The caller executes the actions of a batch in order, at the
/// time of the batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a replica.
    SendAttempt {
        /// Identifier of the part.
        part: RequestId,
        /// Replica that receives the part.
        replica: ReplicaId,
        /// Time at which the attempt times out; 0 stands for the deadline of the query.
        times_out_at: Nanos,
        /// Time after which the attempt must not be sent any more; `None` if it may be sent until
        /// it times out.
        latest_start: Option<Nanos>,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Identifier of the part.
        part: RequestId,
        /// Number of the attempt among those at the part, from 0.
        attempt: u8,
    },
    /// Answer a query from the results so far.
    Answer {
        /// Identifier of the query.
        query: RequestId,
        /// Whether to mark the answer as complete.
        complete: bool,
    },
    /// End a query without an answer, and tell the client that a retry is harmless.
    Reject {
        /// Identifier of the query.
        query: RequestId,
        /// Time that the client should wait before a retry; `None` if the client decides.
        retry_after: Option<Nanos>,
    },
    /// End a query without an answer. Its parts may have been executed, so a retry by the client
    /// may do harm.
    Fail {
        /// Identifier of the query.
        query: RequestId,
    },
    /// Set a timer that causes an [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// Token that the event repeats.
        token: u64,
        /// Time from the batch until the timer fires.
        after: Nanos,
    },
    /// Watch or poll the endpoint list, or stop watching it.
    WatchEndpoints {
        /// Whether to start (`true`) or stop (`false`).
        enabled: bool,
    },
    /// Request the complete endpoint list once.
    FetchEndpoints,
    /// Send a health check to a replica.
    CheckHealth {
        /// Replica that is checked.
        replica: ReplicaId,
    },
    /// Close the idle connections to a replica.
    CloseIdleConnections {
        /// Replica whose connections are closed.
        replica: ReplicaId,
    },
    /// Send a gossip message to one other aggregator, or to all others.
    SendGossip {
        /// Number of the receiving aggregator; `None` for all other aggregators.
        to: Option<u32>,
        /// Encoded message, which the caller passes on unchanged.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
