//! The inputs of the engine.

use super::ids::{ClientId, ConnectionId};
use crate::api::Nanos;
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::http::RequestError;
use crate::protocol::leaf::LeafResponse;
use crate::protocol::query::ClientRequest;

/// An event outside the engine.
#[derive(Debug)]
pub enum Input {
    /// A frontend has started, which may hand over requests from now on.
    FrontendStarted,
    /// A frontend accepts no more clients, and has handed over all requests of those it accepted.
    FrontendStopped,
    /// A client has connected.
    ClientConnected {
        /// The client.
        client: ClientId,
    },
    /// A client has sent a request, valid or not.
    RequestReceived {
        /// The client.
        client: ClientId,
        /// When the last byte of the request was received.
        arrived_at: Nanos,
        /// The request, or why it is invalid.
        request: Result<ClientRequest, RequestError>,
    },
    /// A client's connection has ended.
    ClientDisconnected {
        /// The client.
        client: ClientId,
    },
    /// A connection to a leaf server has been established.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionId,
    },
    /// The socket of a connection has taken the last byte of the frame that it was given.
    FrameWritten {
        /// The connection.
        connection: ConnectionId,
    },
    /// A leaf server has sent a frame.
    FrameReceived {
        /// The connection.
        connection: ConnectionId,
        /// The frame.
        frame: LeafResponse,
    },
    /// A connection to a leaf server was refused, or has failed or ended.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The endpoint list has changed.
    EndpointsUpdated(EndpointUpdate),
    /// A watch on the endpoint list has ended. Another one starts when the policy requests it.
    WatchEnded {
        /// The watch, as numbered by [`super::Effect::StartWatch`].
        watch: u64,
    },
    /// Another aggregator has sent a message.
    GossipReceived {
        /// The sender, by number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The configuration was reloaded.
    ConfigurationReloaded {
        /// The new configuration is valid and has been applied.
        usable: bool,
    },
    /// The operator requests a graceful shutdown.
    ShutdownRequested,
    /// The process exits, and no input follows.
    InputsEnded,
    /// All inputs that were ready have been applied: the policy decides now, and frames are
    /// written.
    BatchEnded,
}
