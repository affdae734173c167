//! Sockets, timers and buffers. Everything here reports to the engine what happened, as an
//! [`Input`](crate::engine::Input), and executes the [`Effect`](crate::engine::Effect)s that the
//! engine returns; nothing is decided here. One thread runs it all, inside a `LocalSet`, with a
//! task for each connection.
//!
//! # Graceful shutdown
//!
//! `engine/shutdown.rs` decides on the phases and their ends. This is what happens here in each:
//!
//! 1. Drain period (`Effect::StartDraining`): the phase is `ServingPhase::Draining`. Connections
//!    are still accepted; each response closes its connection.
//! 2. End of the drain period (`Effect::StopListening`, `Effect::DrainClient`): the phase is
//!    `ServingPhase::ListeningStopped`. `listener.rs` accepts what already waits (`backlog.rs`) and
//!    then reports that its frontend has stopped (`running_frontend.rs`); other frontends do the
//!    same by way of `internal_client.rs`. A connection without an open request is closed, after a
//!    short wait for a request that is on its way (`client_connection/next_request.rs`).
//! 3. Answer deadline (`Effect::ReleaseReplies`): replies no longer wait for the usage log
//!    (`driver/reply_delivery.rs`).
//! 4. Exit (`Effect::Exit`): `event_loop.rs` ends its loop and has the engine answer the inputs
//!    that are queued. `driver/shutdown.rs` waits for clients to end until the exit deadline. The
//!    usage log is closed last.

mod backlog;
mod buffer_pool;
mod client_command;
mod client_connection;
mod client_registry;
mod clock;
mod driver;
mod endpoint_watch;
mod event_loop;
mod gossip;
mod internal_client;
mod leaf_connection;
mod listener;
mod open_requests;
pub mod pending_replies;
mod read_message;
mod running_frontend;
mod shared;
mod usage_recorder;

pub use backlog::{pause_after_failed_accept, Backlog};
pub use clock::Clock;
pub use event_loop::serve;
pub use internal_client::InternalClient;
pub use open_requests::OpenRequest;
pub use usage_recorder::UsageRecorder;

use crate::config::Addresses;

/// Commands that may be queued for one connection. The engine gives each connection one frame or
/// reply at a time.
const MAX_QUEUED_COMMANDS: usize = 4;

/// A request of the operator to a running aggregator.
pub enum OperatorSignal {
    /// Shut down gracefully.
    Shutdown,
    /// Use these addresses from now on; none if the configuration that was read is unusable.
    Reload(Option<Addresses>),
}

/// Starts a frontend for another protocol; called once the engine accepts queries.
pub type StartFrontend = Box<dyn FnOnce(InternalClient)>;

/// What runs beside the native frontend, where it is configured.
#[derive(Default)]
pub struct Extensions {
    /// Records the usage of each query.
    pub recorder: Option<Box<dyn UsageRecorder>>,
    /// The frontends for other protocols.
    pub frontends: Vec<StartFrontend>,
}
