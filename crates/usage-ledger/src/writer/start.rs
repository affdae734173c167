//! Opens a usage log and starts its writer.

use super::counters::WriterCounters;
use super::disk::{Disk, FileSystem};
use super::error::StartError;
use super::handle::UsageLogWriter;
use super::run_tables::{RunTables, NANOSECONDS_PER_MS};
use super::thread::WriterThread;
use crate::log::{cut_torn_tail, segments, Segment};
use crate::settings::UsageLogSettings;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::Path;
use std::sync::mpsc::sync_channel;
use std::sync::Arc;
use tokio::sync::watch;

/// Opens the log for a new run, removes a partial write from its end, and starts its writer. If
/// the settings contain a listen address, starts the collection service there.
///
/// `now_ns` is the current time in Unix nanoseconds.
///
/// # Errors
/// The directory can't be used or is locked by another process, a thread can't be started, or the
/// address can't be bound.
pub fn start(
    settings: &UsageLogSettings,
    tables: RunTables,
    now_ns: u64,
) -> Result<UsageLogWriter, StartError> {
    let mut writer = start_on(FileSystem, settings, tables, now_ns)?;
    if let Some(address) = settings.listen_address {
        let bound_address = crate::collect::listen(address, settings.directory.clone())?;
        writer.set_collection_address(bound_address);
    }
    Ok(writer)
}

/// Like [`start`], but writes to any [`Disk`] and starts no collection service.
///
/// # Errors
/// The directory can't be used or is locked by another process, or the thread can't be started.
pub fn start_on(
    disk: impl Disk,
    settings: &UsageLogSettings,
    tables: RunTables,
    now_ns: u64,
) -> Result<UsageLogWriter, StartError> {
    let directory = &settings.directory;
    let directory_error = |source: io::Error| StartError::Directory {
        directory: directory.clone(),
        source,
    };
    fs::create_dir_all(directory).map_err(directory_error)?;
    let lock = lock(directory)?;
    let last_segment = repair_last_segment(directory).map_err(directory_error)?;
    let incarnation = next_incarnation(now_ns, last_segment.as_ref());
    let (queue, entries) = sync_channel(settings.queue_entries);
    let (publish_written, written_sequence) = watch::channel(0);
    let counters = Arc::<WriterCounters>::default();
    let header = tables.into_header(incarnation);
    let thread = WriterThread::new(disk, lock, settings, header, publish_written, &counters);
    let thread = std::thread::Builder::new()
        .name("usage log".into())
        .spawn(move || thread.run(&entries))
        .map_err(StartError::Thread)?;
    tracing::info!(directory = %directory.display(), incarnation, "usage log opened");
    let max_reply_delay = settings.max_reply_delay;
    Ok(UsageLogWriter::new(
        queue,
        written_sequence,
        counters,
        max_reply_delay,
        thread,
    ))
}

/// Locks the log, so that no other writer can open it.
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

/// Removes a partial write from the end of the log. Returns the last segment; `None` for a new log.
fn repair_last_segment(directory: &Path) -> io::Result<Option<Segment>> {
    let Some(last) = segments(directory)?.pop() else {
        return Ok(None);
    };
    let torn_bytes = cut_torn_tail(&last)?;
    if torn_bytes > 0 {
        tracing::warn!(
            segment = last.name(),
            bytes = torn_bytes,
            "removed a partial write from the end of the usage log"
        );
    }
    Ok(Some(last))
}

/// Returns the incarnation of the new run: the current time in Unix milliseconds, but always
/// greater than the incarnation of any earlier run, even if the clock has stepped back.
fn next_incarnation(now_ns: u64, last: Option<&Segment>) -> u64 {
    let last_incarnation = last.map_or(0, |segment| segment.incarnation);
    (now_ns / NANOSECONDS_PER_MS).max(last_incarnation + 1)
}
