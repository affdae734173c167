//! The usage log of one aggregator: a directory of append-only segments.
//!
//! [`put_frame`] and [`read`] define the frames, [`segments`] lists the files of a log, and a
//! [`Follower`] reads a log that is still being written. Reading tolerates any damage: what can't
//! be read is reported as a range of bytes, and everything else is still found.

mod follower;
mod format;
mod segment;

pub use follower::{Follower, Position};
pub use format::{header, put_frame, read, Item, Read, MAGIC, VERSION};
pub use segment::{cut_torn_tail, remove_settled, segments, Segment};
