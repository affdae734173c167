//! Interface to a usage log.

use crate::engine::usage::{QueryUsage, UsageWatermark};
use tokio::sync::watch;
use tokio::time::Duration;

/// Records the usage of queries. The methods must not block, since the event loop calls them; only
/// [`close`](Self::close) may, for a bounded time.
pub trait UsageRecorder {
    /// Queues a record. Returns `false` if there was no capacity and the record is lost.
    fn record(&mut self, usage: QueryUsage) -> bool;
    /// Queues a watermark, which states the time up to which the log is complete.
    fn record_watermark(&mut self, watermark: UsageWatermark);
    /// Returns the sequence up to which records were handed to the operating system, or were lost
    /// because that failed.
    fn written(&self) -> watch::Receiver<u64>;
    /// Returns the maximum time that a reply waits for its record.
    fn max_reply_delay(&self) -> Duration;
    /// Counts a reply that was sent before its record was written.
    fn count_unrecorded_reply(&mut self);
    /// Writes the queued entries and closes the log. Blocks for a bounded time.
    fn close(&mut self);
}
