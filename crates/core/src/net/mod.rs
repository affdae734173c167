//! Sockets, timers and buffers. Everything here reports what happened to the engine as an
//! [`Input`](crate::engine::Input) and executes the [`Effect`](crate::engine::Effect)s that it asks
//! for; nothing is decided here. One thread runs it all, inside a `LocalSet`, with a task for each
//! connection.

mod backlog;
mod buffer_pool;
mod client_command;
mod client_connection;
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

use std::net::SocketAddr;

/// Commands that may be queued for one connection. The engine gives each connection one frame or
/// reply at a time.
const MAX_QUEUED_COMMANDS: usize = 4;

/// Whom the aggregator speaks to, besides clients and leaf servers.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// Where gossip messages are received; none if gossip is off.
    pub gossip_listen: Option<SocketAddr>,
    /// The other aggregators, by number.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all other aggregators at once.
    pub gossip_broadcast: Option<SocketAddr>,
}

/// What the operator asks of a running aggregator.
pub enum OperatorSignal {
    /// Shut down gracefully.
    Shutdown,
    /// Use these addresses from now on; none if the configuration that was read is unusable.
    Reload(Option<Addresses>),
}

/// Starts a frontend for another protocol; called once the engine can be asked.
pub type StartFrontend = Box<dyn FnOnce(InternalClient)>;

/// What runs beside the native frontend, where it is configured.
#[derive(Default)]
pub struct Extensions {
    /// Records the usage of each query.
    pub recorder: Option<Box<dyn UsageRecorder>>,
    /// The frontends for other protocols.
    pub frontends: Vec<StartFrontend>,
}
