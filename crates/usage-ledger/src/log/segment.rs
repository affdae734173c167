//! The files of a log: listing, repair and removal.

use super::format::{parse_header, read_items, FRAME_HEAD_BYTES, MAGIC};
use super::position::LogPosition;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// File of one segment. Segments sort in the order of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Segment {
    /// Incarnation of the run that wrote the segment.
    pub incarnation: u64,
    /// Lower bound on the sequence numbers of the records in the segment.
    pub first_sequence: u64,
    /// Path of the file.
    pub path: PathBuf,
}

impl Segment {
    /// Returns the segment in `directory` that starts at `first_sequence` of the run `incarnation`.
    /// The file need not exist.
    pub fn new(directory: &Path, incarnation: u64, first_sequence: u64) -> Segment {
        let path = directory.join(format!("{incarnation:020}-{first_sequence:020}.log"));
        Segment {
            incarnation,
            first_sequence,
            path,
        }
    }

    /// Parses the name of a file; returns `None` if it is not the name of a segment.
    fn from_path(path: PathBuf) -> Option<Segment> {
        let name = path.file_name()?.to_str()?;
        let (incarnation, first_sequence) = name.strip_suffix(".log")?.split_once('-')?;
        Some(Segment {
            incarnation: incarnation.parse().ok()?,
            first_sequence: first_sequence.parse().ok()?,
            path,
        })
    }

    /// Returns the name of the file, without its directory.
    pub fn name(&self) -> String {
        let name = self.path.file_name().unwrap_or_default();
        name.to_string_lossy().into_owned()
    }

    /// Returns whether no record of this segment comes after the position `settled`. `next` is the
    /// next segment of the log.
    fn is_settled(&self, next: &Segment, settled: LogPosition) -> bool {
        if next.incarnation != self.incarnation {
            return settled.incarnation > self.incarnation;
        }
        let last = LogPosition {
            incarnation: self.incarnation,
            sequence: next.first_sequence.saturating_sub(1),
        };
        settled >= last
    }
}

/// Returns the segments of a log, oldest first. Other files in the directory are ignored.
///
/// # Errors
/// The directory can't be read.
pub fn segments(directory: &Path) -> io::Result<Vec<Segment>> {
    let mut segments = Vec::new();
    for file in fs::read_dir(directory)? {
        segments.extend(Segment::from_path(file?.path()));
    }
    segments.sort_unstable();
    Ok(segments)
}

/// Removes a partial write from the end of a segment. Deletes the file if its header is incomplete.
/// Returns the number of removed bytes.
///
/// # Errors
/// The file can't be read, truncated or deleted.
pub fn cut_torn_tail(segment: &Segment) -> io::Result<u64> {
    let bytes = fs::read(&segment.path)?;
    let Some(header) = parse_header(&bytes) else {
        // If entries follow, the header was written completely and was damaged later.
        let has_entries = bytes.len() > MAGIC.len() + FRAME_HEAD_BYTES
            && !read_items(&bytes, MAGIC.len(), 1).items.is_empty();
        if has_entries {
            return Ok(0);
        }
        fs::remove_file(&segment.path)?;
        return Ok(bytes.len() as u64);
    };
    let end = read_items(&bytes, header.entries_start, usize::MAX).end;
    let torn_bytes = (bytes.len() - end) as u64;
    if torn_bytes > 0 {
        let file = fs::OpenOptions::new().write(true).open(&segment.path)?;
        file.set_len(end as u64)?;
    }
    Ok(torn_bytes)
}

/// Deletes the segments that have no records after the position `settled`, except for the last
/// segment. Returns the number of deleted segments.
///
/// # Errors
/// The directory can't be read, or a segment can't be deleted.
pub fn remove_settled(directory: &Path, settled: LogPosition) -> io::Result<usize> {
    let segments = segments(directory)?;
    let mut removed_segments = 0;
    for (segment, next) in segments.iter().zip(segments.iter().skip(1)) {
        if segment.is_settled(next, settled) {
            fs::remove_file(&segment.path)?;
            removed_segments += 1;
        }
    }
    Ok(removed_segments)
}
