//! The usage log under faults of the disk: partial writes, flipped bits, a full disk and a stalled
//! disk.

mod harness;
mod reading;
mod writing;
