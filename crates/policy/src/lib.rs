//! Every decision about queries and their parts: admission, selection, replica choice, retries, and
//! when to answer or to reject. Events go in and actions come out; there is no I/O and no clock.
//!
//! The decisions are in `policy`, one concern to a file; [`api`] is what goes in and out. The
//! records and statistics that the decisions rest on are private.

pub mod api;
mod policy;
mod state;
mod stats;

pub use policy::Policy;
