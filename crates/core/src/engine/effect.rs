//! The effects that the engine requests.

use super::counters::EngineCounters;
use super::ids::{ClientId, ConnectionId};
use super::usage::{QueryUsage, UsageWatermark};
use crate::api::Nanos;
use crate::protocol::leaf::LeafRequest;
use crate::protocol::query::QueryReply;
use std::net::SocketAddr;

/// An action outside the engine. Effects are carried out in their order.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a client the reply to its request.
    SendReply {
        /// The client.
        client: ClientId,
        /// The reply.
        reply: QueryReply,
        /// Close the connection after the reply.
        close: bool,
    },
    /// Close a client's connection unless it has sent a request in the meantime.
    CloseClient {
        /// The client.
        client: ClientId,
    },
    /// Close a client's connection during a shutdown, once no request can be on its way on it.
    DrainClient {
        /// The client.
        client: ClientId,
    },
    /// Connect to a leaf server.
    OpenConnection {
        /// The connection.
        connection: ConnectionId,
        /// The leaf server's address.
        address: SocketAddr,
    },
    /// Write a frame to a leaf server.
    WriteFrame {
        /// The connection.
        connection: ConnectionId,
        /// The frame.
        frame: LeafRequest,
    },
    /// Close a connection to a leaf server.
    CloseConnection {
        /// The connection.
        connection: ConnectionId,
    },
    /// Send a message to one other aggregator, or to all.
    SendGossip {
        /// The receiver, by number; none for all others.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Watch the endpoint list at the present discovery service, in place of any other watch.
    StartWatch {
        /// The number of the watch.
        watch: u64,
        /// The version of the list that is known: later changes are requested.
        from_version: u64,
        /// How long the watch may take to answer.
        answer_timeout: Nanos,
    },
    /// The drain period of a shutdown has begun: let frontends of other protocols close each
    /// connection after its response.
    StartDraining,
    /// The drain period of a shutdown is over: accept no more clients.
    StopListening,
    /// Record a query that has ended. This precedes its reply, which waits until the record is
    /// written, for a bounded time.
    RecordUsage(QueryUsage),
    /// Record up to when the usage records are complete.
    RecordWatermark(UsageWatermark),
    /// The answer deadline of a shutdown has passed: replies wait for no usage record any more.
    ReleaseReplies,
    /// Exit the process: every request that was read has been answered.
    Exit {
        /// What was counted since the start.
        counters: Box<EngineCounters>,
        /// The exit deadline: the process ends by then, whether or not all connections have ended.
        deadline: Nanos,
    },
}
