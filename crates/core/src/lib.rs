//! The core of a query aggregator, around the policy: the configuration, the protocols, the engine
//! that owns all state, and the sockets.

pub mod config;
pub mod engine;
pub mod memory;
pub mod net;
pub mod protocol;

pub use aggregator_policy::{api, Policy};
