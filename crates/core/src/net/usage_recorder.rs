//! The interface to a usage log.

use crate::engine::usage::{QueryUsage, UsageWatermark};
use tokio::sync::watch;
use tokio::time::Duration;

/// Takes the usage records of queries. None of its methods may block: they are called by the event
/// loop.
pub trait UsageRecorder {
    /// Queues a record; false if there was no capacity and the record is lost.
    fn record(&mut self, usage: QueryUsage) -> bool;
    /// Queues a watermark: the time up to which the log is complete.
    fn record_watermark(&mut self, watermark: UsageWatermark);
    /// The sequence up to which records have been handed to the operating system, or were lost
    /// because that failed.
    fn written(&self) -> watch::Receiver<u64>;
    /// The longest that a reply waits for its record.
    fn max_reply_delay(&self) -> Duration;
    /// Counts a reply that was sent before its record was written.
    fn count_unrecorded_reply(&mut self);
    /// Writes what is queued, for a bounded time.
    fn close(&mut self);
}
