//! The thread that writes entries to a usage log.

use super::counters::WriterCounters;
use super::disk::Disk;
use super::error::AppendError;
use crate::log::{append_frame, segments, Segment, MAGIC};
use crate::settings::UsageLogSettings;
use crate::wire::{entry::What, Entry, Header};
use std::fs::{self, File, OpenOptions};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Maximum number of entries in one write.
const MAX_BATCH_ENTRIES: usize = 1024;
/// Pause after a failed write. Records that arrive during the pause are counted as lost without an
/// attempt to write them.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that the thread waits for an entry before it polls the queue again.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The segment to which batches are appended.
struct OpenSegment {
    file: File,
    /// Length of the magic number and all complete frames, in bytes.
    length: u64,
}

/// A batch of encoded entries.
struct EncodedBatch {
    bytes: Vec<u8>,
    /// Lower bound on the sequence numbers of the records in the batch.
    first_sequence: u64,
    /// Sequence number of the last record in this batch or, if it has none, in earlier batches.
    last_sequence: u64,
    /// Number of records in the batch.
    records: u64,
}

/// State of the writer thread.
pub(super) struct WriterThread<D> {
    disk: D,
    /// Lock on the log, which is held while the thread runs.
    _lock: File,
    directory: PathBuf,
    segment_bytes: u64,
    max_log_bytes: u64,
    header: Header,
    /// `None` if the next write must create a segment.
    open: Option<OpenSegment>,
    publish_written: watch::Sender<u64>,
    counters: Arc<WriterCounters>,
    /// Time at which the last batch was lost; `None` if it was written.
    failed_at: Option<Instant>,
}

impl<D: Disk> WriterThread<D> {
    pub(super) fn new(
        disk: D,
        lock: File,
        settings: &UsageLogSettings,
        header: Header,
        publish_written: watch::Sender<u64>,
        counters: &Arc<WriterCounters>,
    ) -> WriterThread<D> {
        WriterThread {
            disk,
            _lock: lock,
            directory: settings.directory.clone(),
            segment_bytes: settings.segment_bytes,
            max_log_bytes: settings.max_log_bytes,
            header,
            open: None,
            publish_written,
            counters: counters.clone(),
            failed_at: None,
        }
    }

    /// Writes queued entries until the queue is closed and empty.
    pub(super) fn run(mut self, entries: &Receiver<Entry>) {
        let mut last_sequence = 0;
        loop {
            let first_entry = match entries.recv_timeout(RECEIVE_TIMEOUT) {
                Ok(entry) => entry,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let further_entries = entries.try_iter().take(MAX_BATCH_ENTRIES - 1);
            let batch = encode(
                std::iter::once(first_entry).chain(further_entries),
                last_sequence,
            );
            last_sequence = batch.last_sequence;
            self.write(&batch);
            self.publish_written.send_replace(last_sequence);
        }
    }

    /// Writes a batch and counts its records as written or lost.
    fn write(&mut self, batch: &EncodedBatch) {
        let counter = match self.append(batch) {
            Ok(()) => &self.counters.written_records,
            Err(error) => {
                if self.failed_at.replace(Instant::now()).is_none() {
                    tracing::error!(%error, "failed to write the usage log; records are lost until a write succeeds");
                }
                &self.counters.lost_records
            }
        };
        counter.fetch_add(batch.records, Ordering::Relaxed);
    }

    /// Appends a batch to the open segment, or to a new one if none is open or the open one has
    /// reached its size limit.
    fn append(&mut self, batch: &EncodedBatch) -> Result<(), AppendError> {
        let is_recent = |at: Instant| at.elapsed() < RETRY_INTERVAL;
        if self.failed_at.is_some_and(is_recent) {
            return Err(AppendError::Backoff);
        }
        let open_segment = self.open.take();
        let mut segment = match open_segment.filter(|open| open.length < self.segment_bytes) {
            Some(open) => open,
            None => self.create_segment(batch.first_sequence)?,
        };
        if let Err(error) = self.disk.append(&mut segment.file, &batch.bytes) {
            // Removes the partial write, which would be read as damage between frames. If that
            // fails, the next batch starts a new segment.
            if segment.file.set_len(segment.length).is_ok() {
                self.open = Some(segment);
            }
            return Err(error.into());
        }
        if self.failed_at.take().is_some() {
            tracing::info!("usage log writes succeed again");
        }
        segment.length += batch.bytes.len() as u64;
        self.open = Some(segment);
        Ok(())
    }

    fn create_segment(&mut self, first_sequence: u64) -> Result<OpenSegment, AppendError> {
        let mut log_bytes = 0;
        for segment in segments(&self.directory)? {
            log_bytes += fs::metadata(&segment.path).map_or(0, |file| file.len());
        }
        if log_bytes + self.segment_bytes > self.max_log_bytes {
            return Err(AppendError::CapacityExceeded);
        }
        self.header.first_sequence = first_sequence;
        let mut bytes = MAGIC.to_vec();
        append_frame(&mut bytes, &self.header);
        let segment = Segment::new(&self.directory, self.header.incarnation, first_sequence);
        let mut file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&segment.path)?;
        file.set_len(0)?;
        if let Err(error) = self.disk.append(&mut file, &bytes) {
            let _ = fs::remove_file(&segment.path);
            return Err(error.into());
        }
        Ok(OpenSegment {
            file,
            length: bytes.len() as u64,
        })
    }
}

fn encode(entries: impl Iterator<Item = Entry>, last_sequence: u64) -> EncodedBatch {
    let mut batch = EncodedBatch {
        bytes: Vec::new(),
        first_sequence: last_sequence + 1,
        last_sequence,
        records: 0,
    };
    for entry in entries {
        append_frame(&mut batch.bytes, &entry);
        if let Some(What::Record(record)) = &entry.what {
            batch.last_sequence = record.sequence;
            batch.records += 1;
        }
    }
    batch
}
