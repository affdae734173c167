//! The protocol between an aggregator and a leaf server: frames that consist of a length, a letter
//! for the frame's kind, and a payload.

mod codec;
mod messages;

pub use codec::LeafCodec;
pub use messages::{CallPart, LeafRequest, LeafResponse, PartStatus};
