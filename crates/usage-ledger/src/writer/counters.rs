//! Counters of a running writer.

use std::sync::atomic::AtomicU64;

/// Counters of records.
#[derive(Debug, Default)]
pub struct WriterCounters {
    /// Records that were written to the log.
    pub written_records: AtomicU64,
    /// Records that were not written: the queue was full, or a write failed.
    pub lost_records: AtomicU64,
    /// Replies that were sent before their record was written.
    pub unrecorded_replies: AtomicU64,
}
