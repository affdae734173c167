//! Messages and their codecs.
//!
//! The codecs use no sockets and keep no state beyond the message that is being decoded. They
//! validate all input from other processes, so the engine can rely on every message it receives.

pub mod discovery;
pub mod http;
pub mod leaf;
pub mod query;
