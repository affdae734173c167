//! The usage log of one aggregator: a directory of append-only segments.
//!
//! This module defines the format of segments, and reads them. [`append_frame`] writes a frame and
//! [`read_items`] reads frames, [`segments`] lists the files of a log, and a [`LogFollower`] reads
//! a log that is still being written. The module [`writer`](crate::writer) writes logs.
//!
//! Readers tolerate any damage: unreadable bytes are reported as a range, and all entries before
//! and after the range are still found.

mod follower;
mod format;
mod position;
mod segment;

pub use follower::LogFollower;
pub use format::{
    append_frame, parse_header, read_items, SegmentContent, SegmentHeader, SegmentItem, MAGIC,
    VERSION,
};
pub use position::LogPosition;
pub use segment::{cut_torn_tail, remove_settled, segments, Segment};
