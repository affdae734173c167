//! Sockets, timers and buffers of the aggregator.
//!
//! The tasks of this module report events to the engine as [`Input`](crate::engine::Input)s and
//! execute the [`Effect`](crate::engine::Effect)s that it returns. The engine makes all decisions.
//! All tasks run on one thread, inside a `LocalSet`, with one task per connection.
//!
//! # Graceful shutdown
//!
//! `engine/shutdown.rs` decides when each phase begins. In each phase, this module does the
//! following:
//!
//! 1. Drain period (`Effect::StartDraining`): the phase is `ServingPhase::Draining`. Connections
//!    are still accepted, and each is closed after its response.
//! 2. End of the drain period (`Effect::StopListening`, `Effect::DrainClient`): the phase is
//!    `ServingPhase::ListeningStopped`. `listener.rs` accepts the connections that are already in
//!    the backlog (`backlog.rs`) and then reports that its frontend has stopped
//!    (`running_frontend.rs`). Frontends for other protocols do the same through
//!    `internal_client.rs`. A connection without an open request is closed, after a short wait for
//!    a request in transit (`client_connection/next_request.rs`).
//! 3. Answer deadline (`Effect::ReleaseReplies`): replies no longer wait for the usage log
//!    (`driver/reply_delivery.rs`).
//! 4. Exit (`Effect::Exit`): `event_loop.rs` ends its loop and passes the inputs that are still
//!    queued to the engine, which answers the requests among them. `driver/shutdown.rs` waits for
//!    clients to disconnect, at most until the exit deadline. The usage log is closed last.

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

/// Maximum number of commands queued for one connection. A few suffice, since the engine hands over
/// one frame or reply per connection at a time.
const MAX_QUEUED_COMMANDS: usize = 4;

/// Request from the operator to a running aggregator.
pub enum OperatorSignal {
    /// Shut down gracefully.
    Shutdown,
    /// Switch to these addresses; `None` if the reloaded configuration is invalid.
    Reload(Option<Addresses>),
}

/// Function that starts a frontend for another protocol. Called once the engine accepts queries.
pub type StartFrontend = Box<dyn FnOnce(InternalClient)>;

/// Optional components that run beside the native frontend.
#[derive(Default)]
pub struct Extensions {
    /// Recorder of the usage of each query; `None` if usage is not recorded.
    pub recorder: Option<Box<dyn UsageRecorder>>,
    /// Functions that start the frontends for other protocols.
    pub frontends: Vec<StartFrontend>,
}
