//! Leaf server that answers each part of a query after a random service time.

mod frame;
mod server;

pub use server::{LeafOptions, LeafServer};

/// Offset basis and prime of the 64-bit FNV-1a hash function.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the answer of a shard to a query text, so that clients can verify answers.
///
/// A text that is a JSON object is evaluated as a search on the shard's documents; the answer to
/// any other text is a hash of shard and text.
pub fn expected_answer(shard: u32, text: &str) -> String {
    if text.starts_with('{') {
        let search = serde_json::from_str(text).unwrap_or_default();
        return crate::search::shard_response(shard, &search);
    }
    let bytes = shard.to_le_bytes().into_iter().chain(text.bytes());
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    format!("{hash:016x}")
}
