//! Messages and their codecs; no sockets, and no state beyond the message that is being decoded.
//! All input from other processes is validated here, so the engine can act on every message that it
//! gets.

pub mod discovery;
pub mod http;
pub mod leaf;
pub mod query;
