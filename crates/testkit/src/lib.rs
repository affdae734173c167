//! Test doubles of the services around an aggregator, on loopback: leaf servers, discovery, clients
//! and a receiver of documents.
//!
//! [`installation`] combines them with real aggregators into complete installations, on which the
//! demonstration, the test programs and the benchmark of this crate run. The test doubles are
//! written from the description of the protocol and are never linked into the aggregator.

pub mod cli;
pub mod client;
pub mod discovery;
pub mod http;
pub mod installation;
pub mod leaf;
pub mod process;
pub mod random;
pub mod receiver;
pub mod search;
pub mod sync;
pub mod test_program;
