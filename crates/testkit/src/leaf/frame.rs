//! Frames of the protocol between aggregators and leaf servers: a big-endian length of 4 bytes, one
//! letter for the kind, and the payload. The length covers the letter and the payload.

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// Maximum length of a received frame in bytes, without the length itself.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Kind of a frame, encoded as one letter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameKind {
    /// Parts of queries, sent by an aggregator.
    Query,
    /// Cancellation of a part, sent by an aggregator.
    Cancel,
    /// Health check, and the answer to one.
    HealthCheck,
    /// Request for a load report, and the answer to one.
    LoadReport,
    /// Answer to a part, sent by a leaf server.
    Answer,
    /// Protocol error, sent by a leaf server.
    Error,
}

impl FrameKind {
    const ALL: [FrameKind; 6] = [
        FrameKind::Query,
        FrameKind::Cancel,
        FrameKind::HealthCheck,
        FrameKind::LoadReport,
        FrameKind::Answer,
        FrameKind::Error,
    ];

    fn letter(self) -> u8 {
        match self {
            FrameKind::Query => b'Q',
            FrameKind::Cancel => b'X',
            FrameKind::HealthCheck => b'P',
            FrameKind::LoadReport => b'L',
            FrameKind::Answer => b'A',
            FrameKind::Error => b'E',
        }
    }

    fn from_letter(letter: u8) -> Option<FrameKind> {
        FrameKind::ALL
            .into_iter()
            .find(|kind| kind.letter() == letter)
    }
}

/// Decoded frame.
pub(super) struct LeafFrame {
    pub(super) kind: FrameKind,
    pub(super) payload: Vec<u8>,
}

/// Part of a query for one shard, as received.
pub(super) struct ReceivedPart {
    pub(super) id: String,
    pub(super) shard: u32,
    pub(super) text: String,
}

/// Encodes a frame with its length.
pub(super) fn encode(kind: FrameKind, payload: &[u8]) -> Vec<u8> {
    let mut bytes = ((payload.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(kind.letter());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads one frame. Returns `None` if the connection has ended or the frame is malformed.
pub(super) async fn read(stream: &mut OwnedReadHalf) -> Option<LeafFrame> {
    let length = stream.read_u32().await.ok()? as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return None;
    }
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload).await.ok()?;
    let kind = FrameKind::from_letter(payload.remove(0))?;
    Some(LeafFrame { kind, payload })
}

/// Parses the payload of a query frame. Returns `None` if the payload is malformed.
pub(super) fn parse_parts(mut payload: &[u8]) -> Option<Vec<ReceivedPart>> {
    let mut parts = Vec::new();
    while !payload.is_empty() {
        let line_end = payload.iter().position(|byte| *byte == b'\n')?;
        let line = std::str::from_utf8(&payload[..line_end]).ok()?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, _, text_length] = words[..] else {
            return None;
        };
        let text_start = line_end + 1;
        let text_end = text_start.checked_add(text_length.parse().ok()?)?;
        let text = payload.get(text_start..text_end)?;
        parts.push(ReceivedPart {
            id: id.to_string(),
            shard: shard.parse().ok()?,
            text: String::from_utf8(text.to_vec()).ok()?,
        });
        payload = &payload[text_end..];
    }
    Some(parts)
}
