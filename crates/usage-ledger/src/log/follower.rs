//! The follower: reads a log, which may still be written to, from any position.

use super::format::{
    parse_header, read_items, SegmentContent, SegmentHeader, SegmentItem, MAGIC, MAX_HEADER_BYTES,
};
use super::position::LogPosition;
use super::segment::{segments, Segment};
use crate::wire::{entry::What, Batch, Damage, Entry, Header};
use std::fs::File;
use std::io::{self, Read as _, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// Initial number of bytes per read. The number is doubled until the bytes contain a valid frame or
/// the file ends.
const CHUNK_BYTES: u64 = 256 * 1024;
/// Upper bound on the length of the magic number and the frame head before the header, in bytes.
const HEADER_MARGIN_BYTES: u64 = 64;

/// Reads the entries of a log after a position, batch by batch.
#[derive(Debug)]
pub struct LogFollower {
    directory: PathBuf,
    /// Start position. Entries at or before it are not delivered.
    after: LogPosition,
    /// Segment that is being read; `None` before the first one.
    open: Option<OpenSegment>,
}

impl LogFollower {
    /// Creates a follower of the log in `directory` that delivers the entries after a position.
    pub fn new(directory: &Path, after: LogPosition) -> LogFollower {
        LogFollower {
            directory: directory.into(),
            after,
            open: None,
        }
    }

    /// Returns the next batch, with at most `max_entries` entries of one run; `None` if there are
    /// no new entries.
    ///
    /// # Errors
    /// The log can't be read.
    pub fn next_batch(&mut self, max_entries: usize) -> io::Result<Option<Batch>> {
        loop {
            let Some(open) = self.open.take() else {
                let Some(first) = self.first_segment()? else {
                    return Ok(None);
                };
                self.open = Some(self.open_segment(first)?);
                continue;
            };
            match self.step(open, max_entries)? {
                Step::Batch(batch) => return Ok(Some(batch)),
                Step::Advanced => {}
                Step::CaughtUp => return Ok(None),
            }
        }
    }

    /// Reads the next chunk of a segment, or continues with the next segment.
    fn step(&mut self, mut open: OpenSegment, max_entries: usize) -> io::Result<Step> {
        // Must be looked up before the read: a segment no longer grows once the next one exists.
        let next_segment = self.segment_after(&open.segment)?;
        let chunk = self.read_chunk(&open, max_entries)?;
        let has_advanced = chunk.end > open.offset;
        open.offset = chunk.end;
        if !chunk.entries.is_empty() || !chunk.damage.is_empty() {
            let header = open.header.clone();
            self.open = Some(open);
            return Ok(Step::Batch(Batch {
                header,
                entries: chunk.entries,
                damage: chunk.damage,
            }));
        }
        if has_advanced {
            // All entries of the chunk are at or before the start position.
            self.open = Some(open);
            return Ok(Step::Advanced);
        }
        match next_segment {
            Some(next) => self.finish_segment(open, chunk.unread_bytes, next),
            None => {
                self.open = Some(open);
                Ok(Step::CaughtUp)
            }
        }
    }

    /// Continues with the segment `next`. The last `unread_bytes` bytes of `finished` are reported
    /// as damage, since `finished` no longer grows.
    fn finish_segment(
        &mut self,
        finished: OpenSegment,
        unread_bytes: u64,
        next: Segment,
    ) -> io::Result<Step> {
        self.open = Some(self.open_segment(next)?);
        if unread_bytes == 0 {
            return Ok(Step::Advanced);
        }
        let damage = Damage {
            segment: finished.segment.name(),
            from: finished.offset,
            to: finished.offset + unread_bytes,
        };
        Ok(Step::Batch(Batch {
            header: finished.header,
            entries: Vec::new(),
            damage: vec![damage],
        }))
    }

    /// Returns the segment that contains the first entry after the start position: the last segment
    /// that does not begin after that entry, or the first segment if all begin after it.
    fn first_segment(&self) -> io::Result<Option<Segment>> {
        let segments = segments(&self.directory)?;
        let from = (self.after.incarnation, self.after.sequence + 1);
        let containing = segments
            .iter()
            .rposition(|segment| (segment.incarnation, segment.first_sequence) <= from);
        Ok(segments.into_iter().nth(containing.unwrap_or_default()))
    }

    fn segment_after(&self, segment: &Segment) -> io::Result<Option<Segment>> {
        let segments = segments(&self.directory)?;
        Ok(segments.into_iter().find(|other| other > segment))
    }

    fn open_segment(&self, segment: Segment) -> io::Result<OpenSegment> {
        let (header, offset) = match read_header(&segment)? {
            Some(parsed) => (Some(parsed.message), parsed.entries_start),
            None => (self.header_of_run(segment.incarnation)?, MAGIC.len()),
        };
        Ok(OpenSegment {
            segment,
            header,
            offset: offset as u64,
        })
    }

    /// Returns any readable header of a run. All segments of a run have the same classes and
    /// tenants.
    fn header_of_run(&self, incarnation: u64) -> io::Result<Option<Header>> {
        let segments = segments(&self.directory)?;
        let header = segments
            .iter()
            .filter(|segment| segment.incarnation == incarnation)
            .find_map(|segment| read_header(segment).ok().flatten());
        Ok(header.map(|parsed| parsed.message))
    }

    fn read_chunk(&self, open: &OpenSegment, max_entries: usize) -> io::Result<Chunk> {
        let segment_read = open.read_items(max_entries)?;
        let mut chunk = Chunk {
            entries: Vec::new(),
            damage: Vec::new(),
            end: open.offset + segment_read.content.end as u64,
            unread_bytes: segment_read.length - segment_read.content.end as u64,
        };
        for item in segment_read.content.items {
            match item {
                SegmentItem::Entry(entry) if self.is_before_start(&open.segment, &entry) => {}
                SegmentItem::Entry(entry) => chunk.entries.push(entry),
                SegmentItem::Damage { from, to } => chunk.damage.push(Damage {
                    segment: open.segment.name(),
                    from: open.offset + from,
                    to: open.offset + to,
                }),
            }
        }
        Ok(chunk)
    }

    /// Returns whether an entry is at or before the start position.
    fn is_before_start(&self, segment: &Segment, entry: &Entry) -> bool {
        let sequence = match &entry.what {
            Some(What::Record(record)) => record.sequence,
            // A watermark follows the record whose sequence number it contains.
            Some(What::Mark(mark)) => mark.sequence + 1,
            None => 0,
        };
        let incarnation = segment.incarnation;
        let position = LogPosition {
            incarnation,
            sequence,
        };
        position <= self.after
    }
}

/// The segment that is being read.
#[derive(Debug)]
struct OpenSegment {
    segment: Segment,
    /// Header of the segment or, if that is damaged, of another segment of the run; `None` if all
    /// headers of the run are damaged.
    header: Option<Header>,
    /// Offset of the next byte to read.
    offset: u64,
}

impl OpenSegment {
    /// Reads at most `max_items` items from the offset. Reads more bytes until there is an item or
    /// the file ends.
    fn read_items(&self, max_items: usize) -> io::Result<ReadItems> {
        let mut file = File::open(&self.segment.path)?;
        file.seek(SeekFrom::Start(self.offset))?;
        let mut bytes = Vec::new();
        let mut wanted_bytes = CHUNK_BYTES;
        loop {
            let missing_bytes = wanted_bytes - bytes.len() as u64;
            let read_bytes = file.by_ref().take(missing_bytes).read_to_end(&mut bytes)? as u64;
            let content = read_items(&bytes, 0, max_items);
            if !content.items.is_empty() || read_bytes < missing_bytes {
                return Ok(ReadItems {
                    content,
                    length: bytes.len() as u64,
                });
            }
            // The bytes read so far contain no valid frame: reads more to find the next one.
            wanted_bytes *= 2;
        }
    }
}

/// Items of a segment. All offsets are relative to the offset at which the read started.
struct ReadItems {
    content: SegmentContent,
    /// Number of bytes that were read from the file.
    length: u64,
}

/// Result of one read of the open segment. All offsets are relative to the start of the file.
struct Chunk {
    entries: Vec<Entry>,
    damage: Vec<Damage>,
    /// Offset up to which the segment has been read.
    end: u64,
    /// Number of bytes after `end` that were read but contain no valid frame.
    unread_bytes: u64,
}

/// Result of one step through the log.
enum Step {
    /// Entries or damage to deliver.
    Batch(Batch),
    /// Nothing to deliver, but there may be more to read.
    Advanced,
    /// Nothing to deliver, and the whole log has been read.
    CaughtUp,
}

/// Reads the header of a segment. Returns `None` if the header is incomplete or damaged.
fn read_header(segment: &Segment) -> io::Result<Option<SegmentHeader>> {
    let mut bytes = Vec::new();
    File::open(&segment.path)?
        .take(MAX_HEADER_BYTES as u64 + HEADER_MARGIN_BYTES)
        .read_to_end(&mut bytes)?;
    Ok(parse_header(&bytes))
}
