//! The decisions of the query aggregator: admission, replica selection, retries, hedging, and when
//! to answer or reject a query. [`Policy::handle`] takes events and returns actions, without I/O or
//! a clock.
//!
//! [`api`] defines the events, actions and settings. `policy` has one file per decision, which also
//! defines the state of that decision. `state` defines the records of queries and replicas, and
//! `stats` provides generic statistics.

pub mod api;
mod policy;
mod state;
mod stats;

pub use policy::Policy;
