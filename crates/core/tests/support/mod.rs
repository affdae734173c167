//! Harnesses for the tests: codecs, an engine without sockets, and a complete aggregator on
//! loopback sockets.

#![allow(
    dead_code,
    reason = "each test program uses only some of the harnesses"
)]

pub mod codec_harness;
pub mod engine_harness;
pub mod socket_harness;
