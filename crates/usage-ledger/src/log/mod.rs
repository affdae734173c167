//! The usage log of one aggregator: a directory of append-only segments.
//!
//! [`append_frame`] and [`read_items`] define the frames, [`segments`] lists the files of a log, and a
//! [`LogFollower`] reads a log that is still being written. Reading tolerates any damage:
//! unreadable bytes are reported as a range, and all entries around them are still found. The
//! [`writer`](crate::writer) module writes the log.

mod follower;
mod format;
mod position;
mod segment;

pub use follower::LogFollower;
pub use format::{
    append_frame, parse_header, read_items, SegmentContent, SegmentItem, MAGIC, VERSION,
};
pub use position::LogPosition;
pub use segment::{cut_torn_tail, remove_settled, segments, Segment};
