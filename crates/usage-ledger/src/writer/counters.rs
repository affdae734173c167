//! Counters of a running writer.

use std::sync::atomic::AtomicU64;

/// Counters of one run of a writer.
#[derive(Debug, Default)]
pub struct WriterCounters {
    /// Number of records that were written to the log.
    pub written_records: AtomicU64,
    /// Number of records that were lost because the queue was full or they could not be written.
    pub lost_records: AtomicU64,
    /// Number of replies that were sent before their record was written.
    pub unrecorded_replies: AtomicU64,
}
