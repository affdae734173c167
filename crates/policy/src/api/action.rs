//! The actions that a policy requests.

use super::{Nanos, ReplicaId, RequestId};

/// One request of the policy. The caller executes the actions of a batch in order, at the time of
/// the batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a replica.
    SendAttempt {
        /// Part to send.
        part: RequestId,
        /// Replica to send the part to.
        replica: ReplicaId,
        /// Time at which the attempt times out; 0 stands for the deadline of the query.
        times_out_at: Nanos,
        /// Time after which the attempt must not be sent any more; `None` if it may be sent until
        /// it times out.
        latest_start: Option<Nanos>,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Part that is attempted.
        part: RequestId,
        /// Number of the attempt among those at the part, from 0.
        attempt: u8,
    },
    /// Answer a query from the results so far.
    Answer {
        /// Query to answer.
        query: RequestId,
        /// Whether to mark the answer as complete.
        complete: bool,
    },
    /// Reject a query in such a way that the client knows that a retry is harmless.
    Reject {
        /// Query to reject.
        query: RequestId,
        /// Time that the client should wait before a retry; `None` leaves it to the client.
        retry_after: Option<Nanos>,
    },
    /// End a query whose parts may have been executed, so that a retry by the client may do harm.
    Fail {
        /// Query to end.
        query: RequestId,
    },
    /// Request an [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// Token to return in the event.
        token: u64,
        /// Time until the timer fires.
        after: Nanos,
    },
    /// Watch the endpoint list, or stop watching it.
    WatchEndpoints {
        /// Whether to watch the list.
        enabled: bool,
    },
    /// Read the whole endpoint list once.
    FetchEndpoints,
    /// Send a health check to a replica.
    CheckHealth {
        /// Replica to check.
        replica: ReplicaId,
    },
    /// Close the idle connections to a replica.
    CloseIdleConnections {
        /// Replica whose connections are closed.
        replica: ReplicaId,
    },
    /// Send a gossip message to one other aggregator or to all.
    SendGossip {
        /// Number of the receiving aggregator; `None` for all.
        to: Option<u32>,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
