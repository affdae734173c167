//! The events that a policy receives.

use super::{Nanos, ReplicaId, RequestId};

/// The state of a replica on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It is no longer available.
    Gone,
}

/// One line of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// The replica that the line is about.
    pub replica: ReplicaId,
    /// Its placement cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u16,
    /// When it last started; 0 means long ago.
    pub started: Nanos,
    /// Its state.
    pub state: ReplicaState,
}

/// What an update of the endpoint list carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Changed lines only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as cached before a restart; it may be stale.
    Cached,
    /// A poll or a watch failed; there are no lines.
    Unavailable,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The part was executed and its result returned.
    Success,
    /// The replica reports an error; the part may have been executed.
    Error,
    /// The replica is saturated and rejected the part without executing it.
    Rejected,
    /// No reply in time; the part may have been executed.
    TimedOut,
    /// No connection; the part was not executed.
    Unreachable,
    /// The connection was lost; the part may have been executed.
    ConnectionLost,
    /// Cancelled by us; the part may have been executed.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// The load that a replica reports of itself, in the order that the operator defines.
pub type LoadReport = Vec<f32>;

/// A query that has been received; its parts follow in the same batch, with the same `group`.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryReceived {
    /// The query.
    pub id: RequestId,
    /// Joins the query and its parts.
    pub group: u32,
    /// Index into the settings' classes.
    pub class: u16,
    /// The tenant, by number.
    pub tenant: u32,
    /// The time until the client's timeout.
    pub client_timeout: Nanos,
    /// The work that the query is expected to take.
    pub expected_work: Option<Nanos>,
    /// The client has marked it as a retry.
    pub is_retry: bool,
}

/// A part of the query with the same `group`.
#[derive(Clone, Debug, PartialEq)]
pub struct PartReceived {
    /// The part.
    pub id: RequestId,
    /// Joins the part and its query.
    pub group: u32,
    /// The shard that the part is about.
    pub shard: u32,
    /// Its share of its step's weight.
    pub weight: f64,
}

/// The end of an attempt. Attempts of a part count from 0 in the order sent.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The part that was attempted.
    pub part: RequestId,
    /// The number of the attempt.
    pub attempt: u8,
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The load report that came with it.
    pub report: LoadReport,
}

/// The end of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEnded {
    /// The replica that was checked.
    pub replica: ReplicaId,
    /// How the check ended.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub latency: Nanos,
    /// The load report that came with it.
    pub report: LoadReport,
}

/// One thing that happened. Events of one batch happened in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed, or could not be read.
    EndpointsUpdated {
        /// What `entries` are.
        kind: EndpointUpdateKind,
        /// Lines of the list.
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
        /// The part that was attempted.
        part: RequestId,
        /// The number of the attempt.
        attempt: u8,
        /// The replica that responds.
        replica: ReplicaId,
    },
    /// The client has closed its connection; the query is over.
    ClientDisconnected {
        /// The query.
        id: RequestId,
    },
    /// The process shuts down: every open query has to end by `answer_by`.
    ShutdownRequested {
        /// The latest time for an answer.
        answer_by: Nanos,
    },
    /// A timer set by [`super::Action::SetTimer`] has fired.
    TimerFired {
        /// The timer's token.
        token: u64,
    },
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnded),
    /// A message of another aggregator has been received.
    GossipReceived {
        /// The sender, by number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}
