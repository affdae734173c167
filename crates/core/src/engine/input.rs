//! The inputs of the engine.

use super::ids::{ClientId, ConnectionId};
use crate::api::Nanos;
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::http::RequestError;
use crate::protocol::leaf::LeafResponse;
use crate::protocol::query::ClientRequest;

/// An event outside the engine, reported by the sockets or the process.
#[derive(Debug)]
pub enum Input {
    /// A frontend has started. It may submit requests from now on.
    FrontendStarted,
    /// A frontend accepts no more clients, and has submitted all requests of the clients that it
    /// had accepted.
    FrontendStopped,
    /// A client has connected.
    ClientConnected {
        /// Identifier of the new client connection.
        client: ClientId,
    },
    /// A client has sent a request, valid or not.
    RequestReceived {
        /// Identifier of the client connection.
        client: ClientId,
        /// Time at which the last byte of the request was received.
        arrived_at: Nanos,
        /// The parsed request, or the reason why it is invalid.
        request: Result<ClientRequest, RequestError>,
    },
    /// The connection of a client has ended.
    ClientDisconnected {
        /// Identifier of the client connection.
        client: ClientId,
    },
    /// A connection to a leaf server has been established.
    ConnectionOpened {
        /// Identifier of the connection.
        connection: ConnectionId,
    },
    /// A socket has accepted the last byte of the frame that it was writing.
    FrameWritten {
        /// Identifier of the connection.
        connection: ConnectionId,
    },
    /// A leaf server has sent a frame.
    FrameReceived {
        /// Identifier of the connection.
        connection: ConnectionId,
        /// The decoded frame.
        frame: LeafResponse,
    },
    /// A connection to a leaf server was refused, has failed or has ended.
    ConnectionClosed {
        /// Identifier of the connection.
        connection: ConnectionId,
    },
    /// Discovery has sent the endpoint list or the changes to it.
    EndpointsUpdated(EndpointUpdate),
    /// A watch on the endpoint list has ended. The next one starts when the policy requests it.
    WatchEnded {
        /// Number of the watch, as given in [`super::Effect::StartWatch`].
        watch: u64,
    },
    /// Another aggregator has sent a gossip message.
    GossipReceived {
        /// Number of the sending aggregator.
        from: u32,
        /// Payload of the message.
        bytes: Vec<u8>,
    },
    /// The configuration has been read again.
    ConfigurationReloaded {
        /// Whether the new configuration is valid and has been applied.
        usable: bool,
    },
    /// The operator has requested a graceful shutdown.
    ShutdownRequested,
    /// The process exits. No further input follows.
    InputsEnded,
    /// All available inputs have been applied: the policy handles the events of the batch, and
    /// frames are written.
    BatchEnded,
}
