//! Harnesses of the tests: an engine without sockets, and a whole aggregator on real sockets.

#![allow(dead_code)] // Each test file uses its own part of it.

pub mod engine_harness;
pub mod socket_harness;
