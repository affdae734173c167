//! The events that a policy receives.

use super::{Nanos, ReplicaId, RequestId};

/// The state of a replica on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica accepts requests.
    #[default]
    Ready,
    /// The replica completes the requests that it has and accepts no new ones.
    Draining,
    /// The replica is no longer available.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// Replica that the entry describes.
    pub replica: ReplicaId,
    /// Placement cell of the replica.
    pub cell: u16,
    /// Zone of the replica.
    pub zone: u16,
    /// Time of the replica's last start; 0 if it started long ago.
    pub started_at: Nanos,
    /// State of the replica when the entry was sent.
    pub state: ReplicaState,
}

/// Kind of an update of the endpoint list, which determines the meaning of its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as cached before a restart, which may be stale.
    Cached,
    /// No entries, since a poll or a watch failed.
    Unavailable,
}

/// Outcome of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The part was executed and its result was returned.
    Success,
    /// The replica returned an error; the part may have been executed.
    Error,
    /// The replica is saturated and rejected the part without executing it.
    Rejected,
    /// The replica did not reply in time; the part may have been executed.
    TimedOut,
    /// No connection was established; the part was not executed.
    Unreachable,
    /// The connection was lost; the part may have been executed.
    ConnectionLost,
    /// The aggregator cancelled the attempt; the part may have been executed.
    Cancelled,
    /// The attempt was never sent; the part was not executed.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the replica may have executed the part.
    pub fn may_have_been_executed(self) -> bool {
        use AttemptOutcome::{NotSent, Rejected, Unreachable};
        !matches!(self, Rejected | Unreachable | NotSent)
    }
}

/// Load values that a replica reports about itself. The operator defines their order.
pub type LoadReport = Vec<f32>;

/// A query that has been received. Its parts follow in the same batch, with the same `group`.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryReceived {
    /// Identifier of the query.
    pub id: RequestId,
    /// Number of the group that the query shares with its parts.
    pub group: u32,
    /// Index into [`PolicySettings::classes`](super::PolicySettings::classes).
    pub class: u16,
    /// Number of the tenant, assigned by the caller.
    pub tenant: u32,
    /// Time from the batch until the client times out.
    pub client_timeout: Nanos,
    /// Expected execution time of the query; `None` if it is unknown.
    pub expected_work: Option<Nanos>,
    /// Whether the client has marked the query as a retry.
    pub is_retry: bool,
}

/// A part of the query with the same `group`.
#[derive(Clone, Debug, PartialEq)]
pub struct PartReceived {
    /// Identifier of the part.
    pub id: RequestId,
    /// Number of the group that the part shares with its query.
    pub group: u32,
    /// Shard that the part queries.
    pub shard: u32,
    /// Share of the weight of the query's current step, from 0 to 1.
    pub weight: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// Identifier of the part.
    pub part: RequestId,
    /// Number of the attempt among those at the part, from 0 in the order sent.
    pub attempt: u8,
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Load report that the replica sent with its reply; empty if there is none.
    pub report: LoadReport,
}

/// The end of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEnded {
    /// Replica that was checked.
    pub replica: ReplicaId,
    /// How the check ended.
    pub outcome: AttemptOutcome,
    /// Time from the start of the check to its end.
    pub latency: Nanos,
    /// Load report that the replica sent with its reply; empty if there is none.
    pub report: LoadReport,
}

/// One event. The events of a batch occurred in the order in which they are passed.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed, or a poll or watch of it has failed.
    EndpointsUpdated {
        /// Kind of the update.
        kind: EndpointUpdateKind,
        /// Entries that the update contains.
        entries: Vec<ReplicaEntry>,
    },
    /// A query has been received.
    QueryReceived(QueryReceived),
    /// A part of a query has been received.
    PartReceived(PartReceived),
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A streamed response has started.
    ResponseStarted {
        /// Identifier of the part.
        part: RequestId,
        /// Number of the attempt among those at the part, from 0.
        attempt: u8,
        /// Replica that responds.
        replica: ReplicaId,
    },
    /// The client of a query has disconnected, which ends the query without an answer.
    ClientDisconnected {
        /// Identifier of the query.
        id: RequestId,
    },
    /// The process shuts down; the queries that are open must end by `answer_by`.
    ShutdownRequested {
        /// Time by which these queries must have ended.
        answer_by: Nanos,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired {
        /// Token passed to `SetTimer`.
        token: u64,
    },
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnded),
    /// A gossip message from another aggregator has been received.
    GossipReceived {
        /// Number of the sending aggregator.
        from: u32,
        /// Encoded message, as received.
        bytes: Vec<u8>,
    },
}
