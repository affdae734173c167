//! The binary format of a segment.
//!
//! A segment consists of [`MAGIC`] and a sequence of frames. A frame consists of the CRC-32 of the
//! rest of the frame (4 bytes, little-endian), the length of the body (4 bytes, little-endian) and
//! the body, which is a protobuf message. The body of the first frame is a [`Header`], the bodies
//! of all others are [`Entry`]s. Segments are append-only.

use crate::wire::{Entry, Header};
use prost::Message;

/// First bytes of each segment: name and version of the format.
pub const MAGIC: &[u8; 8] = b"CTHLUSE\x01";
/// Version of the format in the header of a segment.
pub const VERSION: u32 = 1;
/// Length of the checksum field and of the length field of a frame, in bytes each.
const WORD_BYTES: usize = 4;
/// Length of a frame without its body, in bytes.
pub(super) const FRAME_HEAD_BYTES: usize = 2 * WORD_BYTES;
/// Maximum length of the body of an entry's frame.
const MAX_ENTRY_BYTES: usize = 1024;
/// Maximum length of the body of a header's frame.
pub(super) const MAX_HEADER_BYTES: usize = 4 << 20;

/// Appends a frame with the message `body` to `out`.
pub fn append_frame(out: &mut Vec<u8>, body: &impl Message) {
    let frame_start = out.len();
    let length_start = frame_start + WORD_BYTES;
    out.extend_from_slice(&[0; FRAME_HEAD_BYTES]);
    // Encoding fails only if the buffer is too small, but a vector grows as needed.
    let _ = body.encode(out);
    let length = (out.len() - frame_start - FRAME_HEAD_BYTES) as u32;
    out[length_start..length_start + WORD_BYTES].copy_from_slice(&length.to_le_bytes());
    let checksum = crc32fast::hash(&out[length_start..]);
    out[frame_start..length_start].copy_from_slice(&checksum.to_le_bytes());
}

/// An entry of a segment, or a range of damaged bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum SegmentItem {
    /// Entry from a valid frame.
    Entry(Entry),
    /// Unreadable bytes, which are followed by a valid frame.
    Damage {
        /// Offset of the first damaged byte.
        from: u64,
        /// Offset of the next frame.
        to: u64,
    },
}

/// Result of [`read_items`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SegmentContent {
    /// Entries and damaged ranges, in the order of the segment.
    pub items: Vec<SegmentItem>,
    /// Offset up to which the items reach. If fewer items than requested were read, no valid frame
    /// follows.
    pub end: usize,
}

/// Header of a segment, with the offset at which the entries start.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentHeader {
    /// Parsed header message.
    pub message: Header,
    /// Offset of the first entry.
    pub entries_start: usize,
}

/// Parses the header of a segment. Returns `None` if the header is missing or damaged.
pub fn parse_header(bytes: &[u8]) -> Option<SegmentHeader> {
    let rest = bytes.strip_prefix(MAGIC)?;
    let frame = parse_frame(rest, 0, MAX_HEADER_BYTES)?;
    Some(SegmentHeader {
        message: Header::decode(frame.body).ok()?,
        entries_start: MAGIC.len() + frame.end,
    })
}

/// Reads at most `max_items` items, starting at `offset`. Skips unreadable bytes up to the next
/// valid frame and reports them as damage.
pub fn read_items(bytes: &[u8], offset: usize, max_items: usize) -> SegmentContent {
    let mut content = SegmentContent {
        items: Vec::new(),
        end: offset,
    };
    while content.end < bytes.len() && content.items.len() < max_items {
        if let Some((entry, end)) = parse_entry(bytes, content.end) {
            content.items.push(SegmentItem::Entry(entry));
            content.end = end;
            continue;
        }
        // If a length is damaged, the next frame may begin at any offset.
        let mut candidates = content.end + 1..bytes.len();
        let Some(next) = candidates.find(|offset| parse_entry(bytes, *offset).is_some()) else {
            break;
        };
        content.items.push(SegmentItem::Damage {
            from: content.end as u64,
            to: next as u64,
        });
        content.end = next;
    }
    content
}

/// Parses the entry at `offset`. Returns the entry and the offset of the next frame, or `None` if
/// there is no valid frame with an entry.
fn parse_entry(bytes: &[u8], offset: usize) -> Option<(Entry, usize)> {
    let frame = parse_frame(bytes, offset, MAX_ENTRY_BYTES)?;
    let entry = Entry::decode(frame.body).ok()?;
    entry.what.is_some().then_some((entry, frame.end))
}

/// A frame with a valid checksum.
struct Frame<'a> {
    body: &'a [u8],
    /// Offset of the next frame.
    end: usize,
}

/// Parses the frame at `offset`. Returns `None` if the frame is invalid, extends beyond the end of
/// `bytes`, or has a body longer than `max_body_bytes`.
fn parse_frame(bytes: &[u8], offset: usize, max_body_bytes: usize) -> Option<Frame<'_>> {
    let head = bytes.get(offset..offset + FRAME_HEAD_BYTES)?;
    let (checksum, length) = head.split_at(WORD_BYTES);
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    if length == 0 || length > max_body_bytes {
        return None;
    }
    let end = offset + FRAME_HEAD_BYTES + length;
    let checked_bytes = bytes.get(offset + WORD_BYTES..end)?;
    let body = &checked_bytes[WORD_BYTES..];
    (crc32fast::hash(checked_bytes) == checksum).then_some(Frame { body, end })
}
