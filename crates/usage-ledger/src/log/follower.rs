//! Reads a log that is still being written, from any position on.

use super::format::{
    parse_header, read_items, SegmentContent, SegmentHeader, SegmentItem, MAGIC, MAX_HEADER_BYTES,
};
use super::position::LogPosition;
use super::segment::{segments, Segment};
use crate::wire::{entry::What, Batch, Damage, Entry, Header};
use std::fs::File;
use std::io::{self, Read as _, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// Number of bytes that are read at a time, unless more bytes in a row are damaged.
const CHUNK_BYTES: u64 = 256 * 1024;
/// Upper bound of the length of magic number and frame head, which precede the header, in bytes.
const HEADER_MARGIN_BYTES: u64 = 64;

/// Reads a log from a position on, batch by batch.
#[derive(Debug)]
pub struct LogFollower {
    directory: PathBuf,
    after: LogPosition,
    open: Option<OpenSegment>,
}

impl LogFollower {
    /// A follower that delivers the entries after a position of the log in `directory`.
    pub fn new(directory: &Path, after: LogPosition) -> LogFollower {
        LogFollower {
            directory: directory.into(),
            after,
            open: None,
        }
    }

    /// The next batch, of at most `max_entries` entries of one run; `None` if nothing new has been
    /// written.
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

    fn step(&mut self, mut open: OpenSegment, max_entries: usize) -> io::Result<Step> {
        // Looked up before reading: once there is a later segment, this one does not grow any more.
        let later = self.segment_after(&open.segment)?;
        let chunk = self.read_chunk(&open, max_entries)?;
        let advanced = chunk.end > open.offset;
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
        if advanced {
            // All entries that were read precede the position.
            self.open = Some(open);
            return Ok(Step::Advanced);
        }
        match later {
            Some(later) => self.finish_segment(open, chunk.unread, later),
            None => {
                self.open = Some(open);
                Ok(Step::CaughtUp)
            }
        }
    }

    /// Continues with the segment `later`. The last `unread` bytes of `finished` are damage, since
    /// it does not grow any more.
    fn finish_segment(
        &mut self,
        finished: OpenSegment,
        unread: u64,
        later: Segment,
    ) -> io::Result<Step> {
        self.open = Some(self.open_segment(later)?);
        if unread == 0 {
            return Ok(Step::Advanced);
        }
        let damage = Damage {
            segment: finished.segment.name(),
            from: finished.offset,
            to: finished.offset + unread,
        };
        Ok(Step::Batch(Batch {
            header: finished.header,
            entries: Vec::new(),
            damage: vec![damage],
        }))
    }

    /// The segment with the position: the last one that does not begin after it.
    fn first_segment(&self) -> io::Result<Option<Segment>> {
        let segments = segments(&self.directory)?;
        let from = (self.after.incarnation, self.after.sequence + 1);
        let holder = segments
            .iter()
            .rposition(|segment| (segment.incarnation, segment.first_sequence) <= from);
        Ok(segments.into_iter().nth(holder.unwrap_or_default()))
    }

    fn segment_after(&self, segment: &Segment) -> io::Result<Option<Segment>> {
        let segments = segments(&self.directory)?;
        Ok(segments.into_iter().find(|other| other > segment))
    }

    fn open_segment(&self, segment: Segment) -> io::Result<OpenSegment> {
        let (header, offset) = match read_header(&segment)? {
            Some(found) => (Some(found.header), found.entries_start),
            None => (self.header_of_run(segment.incarnation)?, MAGIC.len()),
        };
        Ok(OpenSegment {
            segment,
            header,
            offset: offset as u64,
        })
    }

    /// The names of a run are the same in all of its segments: any readable header of the run.
    fn header_of_run(&self, incarnation: u64) -> io::Result<Option<Header>> {
        let segments = segments(&self.directory)?;
        let header = segments
            .iter()
            .filter(|segment| segment.incarnation == incarnation)
            .find_map(|segment| read_header(segment).ok().flatten());
        Ok(header.map(|found| found.header))
    }

    fn read_chunk(&self, open: &OpenSegment, max_entries: usize) -> io::Result<Chunk> {
        let read = open.read_items(max_entries)?;
        let mut chunk = Chunk {
            entries: Vec::new(),
            damage: Vec::new(),
            end: open.offset + read.content.end as u64,
            unread: read.length - read.content.end as u64,
        };
        for item in read.content.items {
            match item {
                SegmentItem::Entry(entry) if self.is_delivered(&open.segment, &entry) => {}
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

    /// Whether an entry precedes the position, or is at it.
    fn is_delivered(&self, segment: &Segment, entry: &Entry) -> bool {
        let sequence = match &entry.what {
            Some(What::Record(record)) => record.sequence,
            // A mark follows the record that it names.
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

/// A segment that is being read.
#[derive(Debug)]
struct OpenSegment {
    segment: Segment,
    header: Option<Header>,
    /// Offset of the next byte to read.
    offset: u64,
}

impl OpenSegment {
    /// Reads items from the offset on, until there is one or the end of the file is reached.
    fn read_items(&self, max_items: usize) -> io::Result<ReadItems> {
        let mut file = File::open(&self.segment.path)?;
        file.seek(SeekFrom::Start(self.offset))?;
        let mut bytes = Vec::new();
        let mut wanted = CHUNK_BYTES;
        loop {
            let missing = wanted - bytes.len() as u64;
            let received = file.by_ref().take(missing).read_to_end(&mut bytes)? as u64;
            let content = read_items(&bytes, 0, max_items);
            if !content.items.is_empty() || received < missing {
                return Ok(ReadItems {
                    content,
                    length: bytes.len() as u64,
                });
            }
            // All bytes are damaged: more are read to find the next frame.
            wanted *= 2;
        }
    }
}

/// Items of a segment, by offsets from the position where reading started.
struct ReadItems {
    content: SegmentContent,
    /// Number of bytes that were read from the file.
    length: u64,
}

/// The result of one read of an open segment.
struct Chunk {
    entries: Vec<Entry>,
    damage: Vec<Damage>,
    /// Offset up to which the segment has been read.
    end: u64,
    /// Number of bytes after `end`, where there is no complete frame.
    unread: u64,
}

/// The result of one step through the log.
enum Step {
    Batch(Batch),
    /// Nothing to deliver, but there is more to read.
    Advanced,
    /// All of the log has been read.
    CaughtUp,
}

/// Reads the header of a segment; `None` if it is damaged.
fn read_header(segment: &Segment) -> io::Result<Option<SegmentHeader>> {
    let mut bytes = Vec::new();
    File::open(&segment.path)?
        .take(MAX_HEADER_BYTES as u64 + HEADER_MARGIN_BYTES)
        .read_to_end(&mut bytes)?;
    Ok(parse_header(&bytes))
}
