//! The aggregator's side of a running writer.

use super::counters::WriterCounters;
use crate::wire::{entry::What, Entry};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The longest time that [`UsageLogWriter::close`] waits for the thread.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which [`UsageLogWriter::close`] checks whether the thread has ended.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The handle of a running writer.
pub struct UsageLogWriter {
    queue: Option<SyncSender<Entry>>,
    written: watch::Receiver<u64>,
    counters: Arc<WriterCounters>,
    max_reply_delay: Duration,
    collection_address: Option<SocketAddr>,
    thread: Option<JoinHandle<()>>,
}

impl UsageLogWriter {
    /// The handle of a thread that writes the entries of `queue` and publishes to `written`.
    pub(super) fn new(
        queue: SyncSender<Entry>,
        written: watch::Receiver<u64>,
        counters: Arc<WriterCounters>,
        max_reply_delay: Duration,
        thread: JoinHandle<()>,
    ) -> UsageLogWriter {
        UsageLogWriter {
            queue: Some(queue),
            written,
            counters,
            max_reply_delay,
            collection_address: None,
            thread: Some(thread),
        }
    }

    /// Sets the address at which the log is offered for collection.
    pub(super) fn set_collection_address(&mut self, address: SocketAddr) {
        self.collection_address = Some(address);
    }

    /// Queues an entry without waiting; false if the queue is full.
    pub fn try_enqueue(&mut self, what: What) -> bool {
        let entry = Entry { what: Some(what) };
        self.queue
            .as_ref()
            .is_some_and(|queue| queue.try_send(entry).is_ok())
    }

    /// The counters of this run.
    pub fn counters(&self) -> &WriterCounters {
        &self.counters
    }

    /// The sequence number of the last record that the writer is done with: it was handed to the
    /// operating system, or is lost.
    pub fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written.clone()
    }

    /// The longest time that a reply waits for its record to be written.
    pub fn max_reply_delay(&self) -> Duration {
        self.max_reply_delay
    }

    /// The address at which the log is offered for collection; `None` if it is not.
    pub fn collection_address(&self) -> Option<SocketAddr> {
        self.collection_address
    }

    /// Counts a record that could not be queued.
    pub fn count_lost_record(&self) {
        let lost = self.counters.lost_records.fetch_add(1, Ordering::Relaxed) + 1;
        if lost.is_power_of_two() {
            tracing::error!(lost, "usage records lost: the log takes none");
        }
    }

    /// Counts a reply that was sent before its record was written.
    pub fn count_unrecorded_reply(&self) {
        let late = self
            .counters
            .unrecorded_replies
            .fetch_add(1, Ordering::Relaxed)
            + 1;
        if late.is_power_of_two() {
            tracing::warn!(
                late,
                "answers that left before their usage record: the log has stalled"
            );
        }
    }

    /// Ends the writer after it has written all queued entries, or after a timeout.
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
            tracing::error!("the usage log did not take its last records in time");
        }
        let written = self.counters.written_records.load(Ordering::Relaxed);
        let lost = self.counters.lost_records.load(Ordering::Relaxed);
        let late = self.counters.unrecorded_replies.load(Ordering::Relaxed);
        tracing::info!(written, lost, late, "usage log closed");
    }
}
