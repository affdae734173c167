//! Messages and their codecs; no sockets, and no state beyond the message that is being decoded.
//! All input from outside is validated here, so the engine can act on every message it gets.

pub mod discovery;
pub mod http;
pub mod leaf;
pub mod query;
