//! The writer of an aggregator's usage log.
//!
//! Records go through a bounded queue to a thread of their own, so that no disk can delay an
//! answer: a record that finds the queue full is dropped and counted. The thread writes whole
//! batches, starts a new segment where the last one is full, and publishes the sequence number up
//! to which nothing is left to wait for.

mod error;
mod thread;

pub use error::StartError;

use self::thread::WriterThread;
use crate::log::{cut_torn_tail, segments, Segment, VERSION};
use crate::settings::UsageLogSettings;
use crate::wire::{entry::What, Class, Entry, Header};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How long [`UsageLogWriter::close`] waits for the thread.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which [`UsageLogWriter::close`] looks whether the thread has ended.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Nanoseconds in a millisecond.
const NANOSECONDS_PER_MS: u64 = 1_000_000;

/// The tables that the numbers in records refer to, for one run of an aggregator.
#[derive(Clone, Debug, Default)]
pub struct RunTables {
    /// The aggregator's own name.
    pub aggregator: String,
    /// Classes by number.
    pub classes: Vec<RunClass>,
    /// Tenants by number.
    pub tenants: Vec<String>,
}

/// A class of requests during one run of an aggregator.
#[derive(Clone, Debug)]
pub struct RunClass {
    /// The class's name.
    pub name: String,
    /// The longest that a client waits over all its requests, in nanoseconds.
    pub client_timeout_ns: u64,
}

impl RunTables {
    /// The header of a segment; its published field names are mapped here.
    fn into_header(self, incarnation: u64) -> Header {
        let classes = self.classes.into_iter().map(|class| Class {
            name: class.name,
            give_up_ms: class.client_timeout_ns / NANOSECONDS_PER_MS,
        });
        Header {
            version: VERSION,
            mixer: self.aggregator,
            incarnation,
            first_sequence: 1,
            classes: classes.collect(),
            tenants: self.tenants,
        }
    }
}

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

/// How bytes reach a segment; tests replace it by one that fails.
pub trait Disk: Send + 'static {
    /// Appends `bytes` to a segment.
    ///
    /// # Errors
    /// Not all of `bytes` could be written; the caller cuts off what was.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
}

/// Writes to the file system.
pub struct FileSystem;

impl Disk for FileSystem {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
}

/// The aggregator's end of the queue.
pub struct UsageLogWriter {
    queue: Option<SyncSender<Entry>>,
    written: watch::Receiver<u64>,
    counts: Arc<WriterCounters>,
    max_reply_delay: Duration,
    collection_address: Option<SocketAddr>,
    thread: Option<JoinHandle<()>>,
}

/// Opens the log for one more run, starts its writer and, where the settings ask for it, offers the
/// log for collection. A partial write that the run before has left is cut off.
///
/// `now` is the time in Unix nanoseconds.
///
/// # Errors
/// The directory can't be used, another aggregator uses it, or the address can't be listened on.
pub fn start(
    settings: &UsageLogSettings,
    tables: RunTables,
    now: u64,
) -> Result<UsageLogWriter, StartError> {
    let mut writer = start_on(FileSystem, settings, tables, now)?;
    if let Some(address) = settings.listen_address {
        let bound_address = crate::collect::listen(address, settings.directory.clone())?;
        writer.collection_address = Some(bound_address);
    }
    Ok(writer)
}

/// As [`start`], on any disk and without a listener.
///
/// # Errors
/// As [`start`].
pub fn start_on(
    disk: impl Disk,
    settings: &UsageLogSettings,
    tables: RunTables,
    now: u64,
) -> Result<UsageLogWriter, StartError> {
    let directory = &settings.directory;
    let at_directory = |source: io::Error| StartError::Directory {
        directory: directory.clone(),
        source,
    };
    fs::create_dir_all(directory).map_err(at_directory)?;
    let lock = lock(directory)?;
    let existing = segments(directory).map_err(at_directory)?;
    if let Some(last) = existing.last() {
        repair(last).map_err(at_directory)?;
    }
    let incarnation = next_incarnation(now, existing.last());
    let (queue, entries) = sync_channel(settings.queue_entries);
    let (publish_written, written) = watch::channel(0);
    let counts = Arc::<WriterCounters>::default();
    let header = tables.into_header(incarnation);
    let thread = WriterThread::new(disk, lock, settings, header, publish_written, &counts);
    let thread = std::thread::Builder::new()
        .name("usage log".into())
        .spawn(move || thread.run(&entries))
        .map_err(StartError::Thread)?;
    tracing::info!(directory = %directory.display(), incarnation, "usage log opened");
    Ok(UsageLogWriter {
        queue: Some(queue),
        written,
        counts,
        max_reply_delay: settings.max_reply_delay,
        collection_address: None,
        thread: Some(thread),
    })
}

/// Takes the lock that allows one writer to each log.
fn lock(directory: &Path) -> Result<File, StartError> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(directory.join("lock"))
        .map_err(|source| StartError::Directory {
            directory: directory.into(),
            source,
        })?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(_) => Err(StartError::Locked {
            directory: directory.into(),
        }),
    }
}

fn repair(last: &Segment) -> io::Result<()> {
    let torn = cut_torn_tail(last)?;
    if torn > 0 {
        tracing::warn!(
            segment = last.name(),
            bytes = torn,
            "a partial record at the end of the log was cut off"
        );
    }
    Ok(())
}

/// Later than that of any run before, also where the clock has stepped back.
fn next_incarnation(now_ns: u64, last: Option<&Segment>) -> u64 {
    let last = last.map_or(0, |segment| segment.incarnation);
    (now_ns / NANOSECONDS_PER_MS).max(last + 1)
}

impl UsageLogWriter {
    /// Queues an entry without waiting; false if the queue is full.
    pub fn try_enqueue(&mut self, what: What) -> bool {
        let entry = Entry { what: Some(what) };
        self.queue
            .as_ref()
            .is_some_and(|queue| queue.try_send(entry).is_ok())
    }

    /// The counters of this run.
    pub fn counts(&self) -> &WriterCounters {
        &self.counts
    }

    /// The sequence number up to which nothing is left to wait for.
    pub fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written.clone()
    }

    /// The longest that a reply waits for its record.
    pub fn max_reply_delay(&self) -> Duration {
        self.max_reply_delay
    }

    /// The address at which the log is offered for collection; `None` if it is not.
    pub fn collection_address(&self) -> Option<SocketAddr> {
        self.collection_address
    }

    /// Counts a record that could not be queued.
    pub fn count_lost_record(&self) {
        let lost = self.counts.lost_records.fetch_add(1, Ordering::Relaxed) + 1;
        if lost.is_power_of_two() {
            tracing::error!(lost, "usage records lost: the log takes none");
        }
    }

    /// Counts an answer that left before its record was written.
    pub fn count_unrecorded_reply(&self) {
        let late = self
            .counts
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

    /// Ends the writer once all queued entries are written, or after a bounded time.
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
        let written = self.counts.written_records.load(Ordering::Relaxed);
        let lost = self.counts.lost_records.load(Ordering::Relaxed);
        let late = self.counts.unrecorded_replies.load(Ordering::Relaxed);
        tracing::info!(written, lost, late, "usage log closed");
    }
}
