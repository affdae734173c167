//! Counters of a running writer.

use std::sync::atomic::AtomicU64;

/// Counters of records.
#[derive(Debug, Default)]
pub struct WriterCounters {
    /// Written to the log.
    pub written_records: AtomicU64,
    /// Never written: the queue was full, or the disk could not be written.
    pub lost_records: AtomicU64,
    /// Answers that left before their record was written.
    pub unrecorded_replies: AtomicU64,
}
