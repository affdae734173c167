//! Every decision about queries and their parts: admission, replica selection, retries, hedging,
//! and when to answer or to reject. [`Policy::handle`] takes events and returns actions; there is
//! no I/O and no clock.
//!
//! [`api`] has the events, the actions and the settings. `policy` has a file for each decision,
//! with the state that it owns; `state` has the records of queries and replicas, and `stats`
//! generic statistics.

pub mod api;
mod policy;
mod state;
mod stats;

pub use policy::Policy;
