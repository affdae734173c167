//! The reducer: all state of the mixer and every change to it. Inputs go in one by one, effects
//! come out; no socket and no clock is touched here. The decisions come from
//! [`crate::Coordinator`], once a turn.

pub mod counters;
pub mod leaf_connection;
pub mod messages;
mod replicas;
mod state;
pub mod usage;

pub use messages::{ClientId, ConnectionId, Effect, Input};
pub use state::Engine;
