//! The inputs of the engine.

use super::ids::{ClientId, ConnectionId};
use crate::api::Nanos;
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::http::RequestError;
use crate::protocol::leaf::LeafResponse;
use crate::protocol::query::ClientRequest;

/// An event outside the engine, for example on a socket. The event loop passes inputs to
/// [`Engine::apply`](super::Engine::apply) in batches, each of which ends with
/// [`Input::BatchEnded`].
#[derive(Debug)]
pub enum Input {
    /// A frontend has started to accept clients. During a shutdown, the engine requests the exit
    /// once all frontends have stopped, or at the exit deadline.
    FrontendStarted,
    /// A frontend has stopped: it reports no further [`Input::ClientConnected`]. Requests may still
    /// arrive from clients that are connected.
    FrontendStopped,
    /// A client has connected.
    ClientConnected {
        /// New identifier, which has not been used for another client.
        client: ClientId,
    },
    /// A client has sent a request, valid or not. The engine replies with
    /// [`Effect::SendReply`](super::Effect::SendReply).
    RequestReceived {
        /// Client that has sent the request.
        client: ClientId,
        /// Time at which the last byte of the request was received, in Unix nanoseconds.
        arrived_at: Nanos,
        /// The parsed request, or the reason why it is invalid.
        request: Result<ClientRequest, RequestError>,
    },
    /// The connection of a client has ended, whichever side closed it.
    ClientDisconnected {
        /// Client whose connection has ended.
        client: ClientId,
    },
    /// A connection to a leaf server has been established.
    ConnectionOpened {
        /// Identifier from [`Effect::OpenConnection`](super::Effect::OpenConnection).
        connection: ConnectionId,
    },
    /// The socket of a connection to a leaf server has accepted the last byte of the frame that it
    /// was writing.
    FrameWritten {
        /// Connection on which the frame was written.
        connection: ConnectionId,
    },
    /// A leaf server has sent a frame.
    FrameReceived {
        /// Connection on which the frame was received.
        connection: ConnectionId,
        /// Decoded frame, or [`LeafResponse::Malformed`].
        frame: LeafResponse,
    },
    /// A connection to a leaf server was refused, has failed or has ended.
    ConnectionClosed {
        /// Connection that has ended or was never established.
        connection: ConnectionId,
    },
    /// Discovery has sent a snapshot of the endpoint list or a delta to it.
    EndpointsUpdated(EndpointUpdate),
    /// A watch on the endpoint list has ended. The next one starts when the policy requests it.
    WatchEnded {
        /// Number of the watch, as given in [`super::Effect::StartWatch`].
        watch: u64,
    },
    /// Another aggregator has sent a gossip message.
    GossipReceived {
        /// Number of the sending aggregator: its index in the configured `peers`.
        from: u32,
        /// Payload of the message, which only the policy interprets.
        bytes: Vec<u8>,
    },
    /// The configuration file has been read again.
    ConfigurationReloaded {
        /// Whether the new configuration is valid and its addresses are in force.
        is_valid: bool,
    },
    /// The operator has requested a graceful shutdown.
    ShutdownRequested,
    /// The process is about to exit, and no further input follows.
    InputsEnded,
    /// A batch of inputs is complete, or a timer is due. The engine runs the timers that are due,
    /// lets the policy handle the events of the batch, and writes frames.
    BatchEnded,
}
