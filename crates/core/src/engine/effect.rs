//! The effects that the engine requests.

use super::counters::EngineCounters;
use super::ids::{ClientId, ConnectionId};
use super::usage::{QueryUsage, UsageWatermark};
use crate::api::Nanos;
use crate::protocol::leaf::LeafRequest;
use crate::protocol::query::QueryReply;
use std::net::SocketAddr;

/// An operation that the engine requests. The driver executes effects in the order in which
/// [`Engine::apply`](super::Engine::apply) returns them.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send the reply to the open request of a client.
    SendReply {
        /// Client whose request is answered.
        client: ClientId,
        /// Reply to encode and send.
        reply: QueryReply,
        /// Whether to close the connection after the reply.
        close: bool,
    },
    /// Close the connection of an idle client to make room for a new one, unless a complete request
    /// has arrived on it. In that case, the reply to the request closes the connection. A client
    /// that has just connected has a short time for its first request.
    CloseClient {
        /// Idle client to evict.
        client: ClientId,
    },
    /// Close the connection of an idle client after the drain period of a shutdown. The connection
    /// stays open for a short time if a request may be in transit on it.
    DrainClient {
        /// Client without an open query.
        client: ClientId,
    },
    /// Connect to a leaf server. The result is reported as
    /// [`Input::ConnectionOpened`](super::Input::ConnectionOpened) or
    /// [`Input::ConnectionClosed`](super::Input::ConnectionClosed).
    OpenConnection {
        /// New identifier, which has not been used for another connection.
        connection: ConnectionId,
        /// Address of the leaf server.
        address: SocketAddr,
    },
    /// Write a frame to a leaf server. At most one frame per connection is written at a time; its
    /// end is reported as [`Input::FrameWritten`](super::Input::FrameWritten).
    WriteFrame {
        /// Connection on which to write the frame.
        connection: ConnectionId,
        /// Frame to encode and write.
        frame: LeafRequest,
    },
    /// Close a connection to a leaf server. The engine has removed the connection already, so the
    /// close is not reported as an input.
    CloseConnection {
        /// Connection to close; it may be established or not.
        connection: ConnectionId,
    },
    /// Send a gossip message to one other aggregator or to all others.
    SendGossip {
        /// Number of the receiving aggregator (its index in the configured `peers`), or `None` for
        /// all others.
        to: Option<u32>,
        /// Payload of the message, which only the policy interprets.
        bytes: Vec<u8>,
    },
    /// Watch the endpoint list at the currently configured discovery service, replacing any earlier
    /// watch.
    StartWatch {
        /// Number of the watch, which is reported back in [`super::Input::WatchEnded`].
        watch: u64,
        /// Version of the known list. Only later changes are requested.
        from_version: u64,
        /// Time within which the watch must be answered, in nanoseconds.
        answer_timeout: Nanos,
    },
    /// The drain period of a shutdown has begun: frontends for other protocols close each
    /// connection after its response.
    StartDraining,
    /// The drain period of a shutdown has ended: accept no more clients.
    StopListening,
    /// Record the usage of a query that has ended. This effect precedes the reply to the query, if
    /// there is one. The reply waits until the record is written, for a limited time.
    RecordUsage(QueryUsage),
    /// Record a watermark, the time up to which the usage records are complete.
    RecordWatermark(UsageWatermark),
    /// The answer deadline of a shutdown has passed: send the replies that wait for a usage record,
    /// and let no further reply wait.
    ReleaseReplies,
    /// Exit the process. Either no query, client or frontend is left, or the exit deadline has
    /// passed.
    Exit {
        /// Counters since the start of the process.
        counters: Box<EngineCounters>,
        /// Exit deadline, by which the process must end whether or not all connections have ended.
        deadline: Nanos,
    },
}
