//! What goes into the reducer and what it asks for.

use super::counters::Counters;
use super::usage::{UsageRecord, UsageWatermark};
use crate::api::Nanos;
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::http::RequestError;
use crate::protocol::leaf::{LeafRequest, LeafResponse};
use crate::protocol::query::{ClientRequest, Reply};
use std::net::SocketAddr;

/// A client's connection and a connection to a leaf server, each by a number that is never used
/// again.
pub type ClientId = u64;
pub type ConnectionId = u64;

#[derive(Debug)]
pub enum Input {
    ClientConnected {
        client: ClientId,
    },
    /// The last byte of a request came in at `arrived`.
    RequestReceived {
        client: ClientId,
        arrived: Nanos,
        request: Result<ClientRequest, RequestError>,
    },
    ClientDisconnected {
        client: ClientId,
    },
    ConnectionOpened {
        connection: ConnectionId,
    },
    /// The socket has taken the last byte of the frame it was given.
    FrameWritten {
        connection: ConnectionId,
    },
    FrameReceived {
        connection: ConnectionId,
        frame: LeafResponse,
    },
    /// Refused, broken or ended.
    ConnectionClosed {
        connection: ConnectionId,
    },
    EndpointsUpdated(EndpointUpdate),
    /// This watch on the list has ended; another is begun when the module asks for it.
    WatchEnded {
        watch: u64,
    },
    GossipReceived {
        from: u32,
        bytes: Vec<u8>,
    },
    /// The configuration was read again; whether it does.
    ConfigurationReloaded {
        usable: bool,
    },
    /// A planned end.
    ShutdownRequested,
    /// What was ready has been put in; now decide.
    BatchEnded,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    SendReply {
        client: ClientId,
        reply: Reply,
        close: bool,
    },
    /// Close a client's connection unless a request has come in on it.
    CloseClient {
        client: ClientId,
    },
    OpenConnection {
        connection: ConnectionId,
        address: SocketAddr,
    },
    WriteFrame {
        connection: ConnectionId,
        frame: LeafRequest,
    },
    CloseConnection {
        connection: ConnectionId,
    },
    SendGossip {
        to: Option<u32>,
        bytes: Vec<u8>,
    },
    /// Watch the list of leaf servers from this version on, where discovery is now, in place of any
    /// other watch. Its first answer has to come within this time.
    StartWatch {
        watch: u64,
        from: u64,
        answer_within: Nanos,
    },
    StopListening,
    /// One query has ended; comes before its reply, which waits for the record.
    RecordUsage(UsageRecord),
    /// The log of use is complete up to here.
    RecordWatermark(UsageWatermark),
    Exit(Box<Counters>),
}
