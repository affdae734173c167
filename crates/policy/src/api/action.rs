//! The actions that a policy requests.

use super::{Nanos, ReplicaId, RequestId};

/// One request of the policy. The actions of a batch are executed in order, at the batch's time.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a replica.
    SendAttempt {
        /// The part.
        part: RequestId,
        /// The replica to send it to.
        replica: ReplicaId,
        /// The attempt times out then; 0 stands for the deadline of its query.
        times_out_at: Nanos,
        /// The attempt is dropped if it has not been sent by then.
        latest_start: Option<Nanos>,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The part that is attempted.
        part: RequestId,
        /// The number of the attempt.
        attempt: u8,
    },
    /// Answer a query from the results so far.
    Answer {
        /// The query.
        query: RequestId,
        /// The answer is to be marked as complete.
        complete: bool,
    },
    /// Reject a query: a retry by the client is harmless.
    Reject {
        /// The query.
        query: RequestId,
        /// The client should wait this long before a retry.
        retry_after: Option<Nanos>,
    },
    /// End a query whose parts may have been executed, so that a retry may do harm.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Request an [`super::Event::TimerFired`] after this time.
    SetTimer {
        /// The timer's token.
        token: u64,
        /// The time until it fires.
        after: Nanos,
    },
    /// Watch the endpoint list, or stop watching it.
    WatchEndpoints {
        /// Whether to watch.
        enabled: bool,
    },
    /// Read the whole endpoint list once.
    FetchEndpoints,
    /// Send a replica a health check.
    CheckHealth {
        /// The replica.
        replica: ReplicaId,
    },
    /// Close the idle connections to a replica.
    CloseIdleConnections {
        /// The replica.
        replica: ReplicaId,
    },
    /// Send bytes to one other aggregator, or to all.
    SendGossip {
        /// The receiver, by number; all where there is none.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
