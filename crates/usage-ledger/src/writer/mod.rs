//! The writer of an aggregator's usage log.
//!
//! Records go through a bounded queue to a thread of their own, so that no disk can delay an
//! answer: a record that finds the queue full is dropped and counted. The thread writes whole
//! batches, starts a new segment where the last one is full, and publishes the sequence number up
//! to which nothing is left to wait for.

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
