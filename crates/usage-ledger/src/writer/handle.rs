//! The handle through which an aggregator uses a running writer.

use super::counters::WriterCounters;
use crate::wire::{entry::What, Entry};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Maximum time that [`UsageLogWriter::close`] waits for the writer thread.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which [`UsageLogWriter::close`] checks whether the writer thread has ended.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Handle of a running writer.
pub struct UsageLogWriter {
    /// `None` after [`UsageLogWriter::close`].
    queue: Option<SyncSender<Entry>>,
    /// Sequence number of the last record that was written or lost.
    written_sequence: watch::Receiver<u64>,
    counters: Arc<WriterCounters>,
    max_reply_delay: Duration,
    collection_address: Option<SocketAddr>,
    /// `None` after [`UsageLogWriter::close`].
    thread: Option<JoinHandle<()>>,
}

impl UsageLogWriter {
    /// Creates the handle of a thread that writes the entries of `queue` and publishes its progress
    /// to `written_sequence`.
    pub(super) fn new(
        queue: SyncSender<Entry>,
        written_sequence: watch::Receiver<u64>,
        counters: Arc<WriterCounters>,
        max_reply_delay: Duration,
        thread: JoinHandle<()>,
    ) -> UsageLogWriter {
        UsageLogWriter {
            queue: Some(queue),
            written_sequence,
            counters,
            max_reply_delay,
            collection_address: None,
            thread: Some(thread),
        }
    }

    /// Sets the address at which the settlement can collect the log.
    pub(super) fn set_collection_address(&mut self, address: SocketAddr) {
        self.collection_address = Some(address);
    }

    /// Queues an entry without waiting. Returns `false` if the queue is full or closed.
    pub fn try_enqueue(&mut self, what: What) -> bool {
        let entry = Entry { what: Some(what) };
        self.queue
            .as_ref()
            .is_some_and(|queue| queue.try_send(entry).is_ok())
    }

    /// Returns the counters of this run.
    pub fn counters(&self) -> &WriterCounters {
        &self.counters
    }

    /// Returns a receiver for the sequence number of the last processed record, which was either
    /// handed to the operating system or lost.
    pub fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written_sequence.clone()
    }

    /// Returns the maximum time that a reply waits for its record to be written.
    pub fn max_reply_delay(&self) -> Duration {
        self.max_reply_delay
    }

    /// Returns the address at which the settlement can collect the log; `None` if the log is not
    /// offered for collection.
    pub fn collection_address(&self) -> Option<SocketAddr> {
        self.collection_address
    }

    /// Counts a record that could not be queued. Logs the count at each power of two.
    pub fn count_lost_record(&self) {
        let lost = self.counters.lost_records.fetch_add(1, Ordering::Relaxed) + 1;
        if lost.is_power_of_two() {
            tracing::error!(
                lost,
                "usage records lost: the queue of the usage log is full"
            );
        }
    }

    /// Counts a reply that was sent before its record was written. Logs the count at each power of
    /// two.
    pub fn count_unrecorded_reply(&self) {
        let late = self
            .counters
            .unrecorded_replies
            .fetch_add(1, Ordering::Relaxed)
            + 1;
        if late.is_power_of_two() {
            tracing::warn!(
                late,
                "usage log stalled: replies were sent before their usage records were written"
            );
        }
    }

    /// Closes the queue and waits until the thread has processed all queued entries, but no longer
    /// than 2 s. Later calls do nothing.
    pub fn close(&mut self) {
        self.queue = None;
        let Some(thread) = self.thread.take() else {
            return;
        };
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while !thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
        if thread.is_finished() {
            let _ = thread.join();
        } else {
            tracing::error!("usage log not closed in time: the last records may be lost");
        }
        let written = self.counters.written_records.load(Ordering::Relaxed);
        let lost = self.counters.lost_records.load(Ordering::Relaxed);
        let late = self.counters.unrecorded_replies.load(Ordering::Relaxed);
        tracing::info!(written, lost, late, "usage log closed");
    }
}
