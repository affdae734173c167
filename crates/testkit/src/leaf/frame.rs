//! Frames between aggregators and leaf servers: a length in 4 bytes, a letter, and the rest.

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// The longest frame that is accepted, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Letters of the frames.
pub(super) mod kind {
    /// Parts of queries, from an aggregator.
    pub const QUERY: u8 = b'Q';
    /// A part is cancelled.
    pub const CANCEL: u8 = b'X';
    /// A health check and its answer.
    pub const HEALTH_CHECK: u8 = b'P';
    /// A request for a load report and its answer.
    pub const LOAD_REPORT: u8 = b'L';
    /// The answer to a part.
    pub const ANSWER: u8 = b'A';
    /// The aggregator broke the protocol.
    pub const ERROR: u8 = b'E';
}

/// A part of a query, for one shard.
pub(super) struct Part {
    pub(super) id: String,
    pub(super) shard: u32,
    pub(super) text: String,
}

/// The bytes of a frame.
pub(super) fn encode(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = ((payload.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads a frame, its letter first; `None` if there is none or it is malformed.
pub(super) async fn read(stream: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let length = stream.read_u32().await.ok()? as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

/// Parses the payload of a query frame; `None` if it is malformed.
pub(super) fn parse_parts(mut payload: &[u8]) -> Option<Vec<Part>> {
    let mut parts = Vec::new();
    while !payload.is_empty() {
        let line_end = payload.iter().position(|byte| *byte == b'\n')?;
        let line = std::str::from_utf8(&payload[..line_end]).ok()?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, _, text_length] = words[..] else {
            return None;
        };
        let text_start = line_end + 1;
        let text_end = text_start + text_length.parse::<usize>().ok()?;
        let text = payload.get(text_start..text_end)?;
        parts.push(Part {
            id: id.to_string(),
            shard: shard.parse().ok()?,
            text: String::from_utf8(text.to_vec()).ok()?,
        });
        payload = &payload[text_end..];
    }
    Some(parts)
}
