//! The protocol between an aggregator and a leaf server. Each frame consists of a length, a letter
//! for its kind, and a payload.

mod codec;
mod messages;

pub use codec::LeafCodec;
pub use messages::{CallPart, LeafRequest, LeafResponse, PartStatus};
