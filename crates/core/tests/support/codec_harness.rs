//! Decodes bytes that arrive in pieces, as on a socket.

use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Decodes bytes that arrive in pieces of these sizes, which repeat until the end. Returns the
/// decoded items.
pub fn decode_in_pieces<D: Decoder<Error = std::io::Error>>(
    codec: &mut D,
    bytes: &[u8],
    sizes: &[usize],
) -> Vec<D::Item> {
    let mut items = Vec::new();
    let mut buffer = BytesMut::new();
    let mut rest = bytes;
    for size in sizes.iter().cycle() {
        let (piece, later) = rest.split_at((*size).clamp(1, rest.len().max(1)).min(rest.len()));
        buffer.extend_from_slice(piece);
        while let Some(item) = codec.decode(&mut buffer).expect("decoding should not fail") {
            items.push(item);
        }
        rest = later;
        if rest.is_empty() {
            break;
        }
    }
    items
}
