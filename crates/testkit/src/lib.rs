//! Stand-ins for what an aggregator works with, on loopback: leaf servers, discovery, clients and a
//! receiver of documents; and complete installations of real aggregators among them, for
//! demonstrations, tests and benchmarks. Written from the protocol's description; never linked into
//! the aggregator.

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
