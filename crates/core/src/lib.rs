//! A query aggregator around its policy: the configuration, the protocols, the engine that holds
//! all state, and the sockets.

pub mod config;
pub mod engine;
pub mod net;
pub mod protocol;

pub use aggregator_policy::{api, Policy};
