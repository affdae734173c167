//! The writer of an aggregator's usage log.
//!
//! Records pass through a bounded queue to a thread, so that a slow disk does not block the
//! aggregator. If the queue is full, the record is dropped and counted. The thread writes the
//! queued records in batches, starts a new segment when the current one is full, and publishes the
//! sequence number of the last record that was written or lost. The format is defined in
//! [`log`](crate::log).

mod counters;
mod disk;
mod error;
mod handle;
mod run_tables;
mod start;
mod thread;

pub use counters::WriterCounters;
pub use disk::{Disk, FileSystem};
pub use error::StartError;
pub use handle::UsageLogWriter;
pub use run_tables::{RunClass, RunTables};
pub use start::{start, start_on};
