//! The usage log of one aggregator: a directory of append-only segments.
//!
//! [`put_frame`] and [`read`] define the frames, [`segments`] lists the files of a log, and a
//! [`LogFollower`] reads a log that is still being written. Reading tolerates any damage:
//! unreadable bytes are reported as a range, and all entries around them are still found. The
//! [`writer`](crate::writer) module writes the log.

mod follower;
mod format;
mod segment;

pub use follower::{LogFollower, LogPosition};
pub use format::{header, put_frame, read, SegmentContent, SegmentItem, MAGIC, VERSION};
pub use segment::{cut_torn_tail, remove_settled, segments, Segment};
