//! A query aggregator around its policy: the configuration, the protocols that it speaks, the
//! engine that holds all its state, and the sockets.

pub mod config;
pub mod engine;
pub mod net;
pub mod protocol;

pub use aggregator_policy::{api, Policy};
