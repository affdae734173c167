//! The mixer around the decisions: its configuration and settings, the protocols that it speaks,
//! the reducer that holds all its state, and the sockets.

pub mod config;
pub mod protocol;
pub mod routing;
pub mod settings;
pub mod transport;

pub use aggregator_policy::{interface, Coordinator};
