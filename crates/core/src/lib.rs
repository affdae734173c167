//! The mixer around the decisions: its configuration and settings, the protocols that it speaks,
//! the reducer that holds all its state, and the sockets.

pub mod config;
pub mod engine;
pub mod net;
pub mod protocol;
pub mod settings;

pub use aggregator_policy::{api, Policy};
