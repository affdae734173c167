//! The usage log under faults of the disk: partial writes, flipped bits, a full disk, a stalled
//! disk.

mod harness;
mod reading;
mod writing;
