//! Writing a log: a full disk, a stalled disk, the lock and the size limit.

use crate::harness::{follow, record, run_tables, settings, write, AFTER_ALL_RECORDS};
use std::fs::{self, File};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;
use usage_ledger::log::{self, LogPosition};
use usage_ledger::settings::UsageLogSettings;
use usage_ledger::writer::{self, Disk, FileSystem};

/// A disk that, while the flag is set, writes half of the bytes and then fails.
struct FullDisk(Arc<AtomicBool>);

impl Disk for FullDisk {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if self.0.load(Ordering::SeqCst) {
            file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.write_all(bytes)
    }
}

#[test]
fn a_full_disk_loses_records_without_blocking() {
    let folder = tempfile::tempdir().unwrap();
    let is_full = Arc::new(AtomicBool::new(false));
    let disk = FullDisk(is_full.clone());
    let mut writer =
        writer::start_on(disk, &settings(folder.path(), 1 << 20), run_tables(), 0).unwrap();
    write(&mut writer, 1..=3);
    is_full.store(true, Ordering::SeqCst);
    // `write` waits for each record. The wait must also end for records that can't be written.
    write(&mut writer, 4..=9);
    is_full.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(120));
    write(&mut writer, 10..=12);
    writer.close();
    assert_eq!(
        (
            writer.counters().lost_records.load(Ordering::SeqCst),
            writer.counters().written_records.load(Ordering::SeqCst)
        ),
        (6, 6)
    );
    let contents = follow(folder.path(), LogPosition::default(), 100);
    assert_eq!(contents.sequences(), [1, 2, 3, 10, 11, 12]);
    let damage = &contents.damage;
    assert!(
        damage.is_empty(),
        "expected partial writes to be removed: {damage:?}"
    );
}

/// A disk that blocks each write until the sender of the channel is dropped.
struct StalledDisk(Receiver<()>);

impl Disk for StalledDisk {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let _ = self.0.recv();
        file.write_all(bytes)
    }
}

#[test]
fn a_stalled_disk_fills_the_queue_without_blocking() {
    let folder = tempfile::tempdir().unwrap();
    let (release, stalled) = channel();
    let mut writer = writer::start_on(
        StalledDisk(stalled),
        &settings(folder.path(), 1 << 20),
        run_tables(),
        0,
    )
    .unwrap();
    let queued_records = (1..=3000)
        .filter(|sequence| writer.try_enqueue(record(*sequence)))
        .count() as u64;
    // The capacity of the queue is 64; up to 1024 more records are in the batch that is being
    // written.
    assert!(
        (64..=64 + 1024).contains(&queued_records),
        "expected 64 to 1088 queued records: {queued_records}"
    );
    assert_eq!(
        *writer.written_sequence().borrow(),
        0,
        "expected no record to be reported as written"
    );
    drop(release);
    writer.close();
    let contents = follow(folder.path(), LogPosition::default(), 4096);
    assert_eq!(
        contents.records.len() as u64,
        queued_records,
        "expected all queued records in the log"
    );
}

#[test]
fn a_log_has_one_writer_and_a_size_limit() {
    let folder = tempfile::tempdir().unwrap();
    let limited_settings = UsageLogSettings {
        max_log_bytes: 12 * 1024,
        ..settings(folder.path(), 4096)
    };
    let mut writer = writer::start_on(FileSystem, &limited_settings, run_tables(), 0).unwrap();
    let second_writer = writer::start_on(FileSystem, &limited_settings, run_tables(), 0);
    assert!(second_writer
        .err()
        .unwrap()
        .to_string()
        .contains("locked by another process"));
    write(&mut writer, 1..=1000);
    let lost_records = writer.counters().lost_records.load(Ordering::SeqCst);
    let log_bytes: u64 = log::segments(folder.path())
        .unwrap()
        .iter()
        .map(|segment| fs::metadata(&segment.path).unwrap().len())
        .sum();
    assert!(
        lost_records > 0 && log_bytes <= limited_settings.max_log_bytes,
        "expected lost records and a log within its size limit: {lost_records} lost, {log_bytes} bytes"
    );
    // After settled segments are removed, the log can grow again.
    log::remove_settled(folder.path(), AFTER_ALL_RECORDS).unwrap();
    std::thread::sleep(Duration::from_millis(120));
    write(&mut writer, 1001..=1003);
    assert_eq!(
        writer.counters().lost_records.load(Ordering::SeqCst),
        lost_records
    );
    writer.close();
}
