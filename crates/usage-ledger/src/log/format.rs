//! The bytes of a segment.
//!
//! A segment is [`MAGIC`], then frames. A frame is the CRC-32 of what follows it (4 bytes,
//! little-endian), the length of its body (4 bytes, little-endian) and the body, a protobuf
//! message: the first is a [`Header`], the others are [`Entry`]s. A segment is only ever appended
//! to.

use crate::wire::{Entry, Header};
use prost::Message;

/// The first bytes of each segment: name and version of the format.
pub const MAGIC: &[u8; 8] = b"CTHLUSE\x01";
/// The version that a header states.
pub const VERSION: u32 = 1;
/// Length of a checksum and of a body's length, in bytes.
const WORD_BYTES: usize = 4;
/// Length of what precedes a frame's body, in bytes.
pub(super) const FRAME_HEAD_BYTES: usize = 2 * WORD_BYTES;
/// The longest body of an entry, in bytes.
const MAX_ENTRY_BYTES: usize = 1024;
/// The longest body of a header, in bytes.
pub(super) const MAX_HEADER_BYTES: usize = 4 << 20;

/// Appends a frame.
pub fn append_frame(out: &mut Vec<u8>, body: &impl Message) {
    let start = out.len();
    let length_at = start + WORD_BYTES;
    out.extend_from_slice(&[0; FRAME_HEAD_BYTES]);
    // Encoding fails only if the buffer is too small, and a vector grows.
    let _ = body.encode(out);
    let length = (out.len() - start - FRAME_HEAD_BYTES) as u32;
    out[length_at..length_at + WORD_BYTES].copy_from_slice(&length.to_le_bytes());
    let checksum = crc32fast::hash(&out[length_at..]);
    out[start..length_at].copy_from_slice(&checksum.to_le_bytes());
}

/// An entry, or bytes that are no entry.
#[derive(Clone, Debug, PartialEq)]
pub enum SegmentItem {
    /// An entry that could be read.
    Entry(Entry),
    /// Bytes that are no frames, followed by a valid frame.
    Damage {
        /// Offset of the first damaged byte.
        from: u64,
        /// Offset of the next frame.
        to: u64,
    },
}

/// The result of [`read_items`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SegmentContent {
    /// Entries and damage, in the order of the segment.
    pub items: Vec<SegmentItem>,
    /// Offset up to which the bytes were read. No complete frame follows it.
    pub end: usize,
}

/// The header of a segment.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentHeader {
    /// The header.
    pub header: Header,
    /// Offset of the first entry.
    pub entries_start: usize,
}

/// Parses the header of a segment; `None` if it can't be read.
pub fn parse_header(bytes: &[u8]) -> Option<SegmentHeader> {
    let rest = bytes.strip_prefix(MAGIC)?;
    let frame = frame(rest, 0, MAX_HEADER_BYTES)?;
    Some(SegmentHeader {
        header: Header::decode(frame.body).ok()?,
        entries_start: MAGIC.len() + frame.end,
    })
}

/// Reads at most `max_items` items from offset `at` on. Unreadable bytes are skipped up to the next
/// valid frame.
pub fn read_items(bytes: &[u8], at: usize, max_items: usize) -> SegmentContent {
    let mut read = SegmentContent {
        items: Vec::new(),
        end: at,
    };
    while read.end < bytes.len() && read.items.len() < max_items {
        if let Some((entry, end)) = entry(bytes, read.end) {
            read.items.push(SegmentItem::Entry(entry));
            read.end = end;
            continue;
        }
        // If a length is damaged, the next frame may begin at any offset.
        let mut candidates = read.end + 1..bytes.len();
        let Some(next) = candidates.find(|at| entry(bytes, *at).is_some()) else {
            break;
        };
        read.items.push(SegmentItem::Damage {
            from: read.end as u64,
            to: next as u64,
        });
        read.end = next;
    }
    read
}

/// The entry at `at`, and the offset of the next frame.
fn entry(bytes: &[u8], at: usize) -> Option<(Entry, usize)> {
    let frame = frame(bytes, at, MAX_ENTRY_BYTES)?;
    let entry = Entry::decode(frame.body).ok()?;
    entry.what.is_some().then_some((entry, frame.end))
}

/// A frame with a valid checksum.
struct Frame<'a> {
    body: &'a [u8],
    /// Offset of the next frame.
    end: usize,
}

/// The frame at `at`; `None` if it is not valid or goes on past the end of `bytes`.
fn frame(bytes: &[u8], at: usize, max_body: usize) -> Option<Frame<'_>> {
    let head = bytes.get(at..at + FRAME_HEAD_BYTES)?;
    let (checksum, length) = head.split_at(WORD_BYTES);
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    if length == 0 || length > max_body {
        return None;
    }
    let end = at + FRAME_HEAD_BYTES + length;
    let covered = bytes.get(at + WORD_BYTES..end)?;
    let body = &covered[WORD_BYTES..];
    (crc32fast::hash(covered) == checksum).then_some(Frame { body, end })
}
