//! The effects that the engine requests.

use super::counters::EngineCounters;
use super::ids::{ClientId, ConnectionId};
use super::usage::{QueryUsage, UsageWatermark};
use crate::api::Nanos;
use crate::protocol::leaf::LeafRequest;
use crate::protocol::query::QueryReply;
use std::net::SocketAddr;

/// An operation that the engine requests from the sockets or the process. Effects must be carried
/// out in the order in which they are returned.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a client the reply to its request.
    SendReply {
        /// Identifier of the client connection.
        client: ClientId,
        /// Reply to encode and send.
        reply: QueryReply,
        /// Whether to close the connection after the reply.
        close: bool,
    },
    /// Close a client's connection, unless the client has sent a request in the meantime.
    CloseClient {
        /// Identifier of the client connection.
        client: ClientId,
    },
    /// Close a client's connection during a shutdown, as soon as no request can be in transit on
    /// it.
    DrainClient {
        /// Identifier of the client connection.
        client: ClientId,
    },
    /// Connect to a leaf server.
    OpenConnection {
        /// Identifier of the new connection.
        connection: ConnectionId,
        /// Address of the leaf server.
        address: SocketAddr,
    },
    /// Write a frame to a leaf server.
    WriteFrame {
        /// Identifier of the connection.
        connection: ConnectionId,
        /// Frame to encode and write.
        frame: LeafRequest,
    },
    /// Close a connection to a leaf server.
    CloseConnection {
        /// Identifier of the connection.
        connection: ConnectionId,
    },
    /// Send a gossip message to one other aggregator or to all others.
    SendGossip {
        /// Number of the receiving aggregator, or `None` for all others.
        to: Option<u32>,
        /// Payload of the message.
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
    /// Record the usage of a query that has ended. This effect precedes the reply to the query. The
    /// reply waits until the record is written, for a limited time.
    RecordUsage(QueryUsage),
    /// Record a watermark, the time up to which the usage records are complete.
    RecordWatermark(UsageWatermark),
    /// The answer deadline of a shutdown has passed: send the replies that wait for a usage record,
    /// and let no further reply wait.
    ReleaseReplies,
    /// Exit the process: every request that was received has been answered.
    Exit {
        /// Counters since the start of the process.
        counters: Box<EngineCounters>,
        /// Exit deadline, by which the process must end whether or not all connections have ended.
        deadline: Nanos,
    },
}
