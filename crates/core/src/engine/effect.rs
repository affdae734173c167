//! What the engine requests.

use super::counters::Counters;
use super::ids::{ClientId, ConnectionId};
use super::usage::{QueryUsage, UsageWatermark};
use crate::api::Nanos;
use crate::protocol::leaf::LeafRequest;
use crate::protocol::query::QueryReply;
use std::net::SocketAddr;

/// One request of the engine. Effects are carried out in their order.
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
    /// Close a client's connection unless a request has come in on it.
    CloseClient {
        /// The client.
        client: ClientId,
    },
    /// Close a client's connection once no request is on its way: the process ends.
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
        /// The receiver, by number; all where there is none.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Watch the endpoint list at the present discovery service, in place of any other watch.
    StartWatch {
        /// The number of the watch.
        watch: u64,
        /// The version of the list from which on changes are wanted.
        from: u64,
        /// The first answer has to come within this time.
        answer_within: Nanos,
    },
    /// A shutdown has begun: let frontends of other protocols close each connection after its
    /// response.
    StartDraining,
    /// Accept no more clients.
    StopListening,
    /// Record a query that has ended. This precedes its reply, which waits for the record.
    RecordUsage(QueryUsage),
    /// Record up to when the usage log is complete.
    RecordWatermark(UsageWatermark),
    /// Let no reply wait for its usage record any more.
    ReleaseReplies,
    /// The process exits: everything that was read has been answered.
    Exit {
        /// What was counted since the start.
        counters: Box<Counters>,
        /// By when the process ends, whether or not all connections have ended.
        deadline: Nanos,
    },
}
