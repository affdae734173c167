//! Helpers that write and read usage logs.

use std::path::Path;
use std::time::Duration;
use usage_ledger::log::{LogFollower, LogPosition};
use usage_ledger::settings::UsageLogSettings;
use usage_ledger::wire::{entry::What, Damage, Outcome, Record};
use usage_ledger::writer::{self, FileSystem, RunClass, RunTables, UsageLogWriter};

/// A position after all records of a log.
pub const AFTER_ALL_RECORDS: LogPosition = LogPosition {
    incarnation: u64::MAX,
    sequence: u64::MAX,
};

pub fn settings(directory: &Path, segment_bytes: u64) -> UsageLogSettings {
    UsageLogSettings {
        directory: directory.into(),
        segment_bytes,
        max_log_bytes: 1 << 30,
        queue_entries: 64,
        max_reply_delay: Duration::from_millis(5),
        watermark_interval: Duration::from_millis(100),
        listen_address: None,
    }
}

pub fn run_tables() -> RunTables {
    RunTables {
        aggregator: "n0".into(),
        classes: vec![RunClass {
            name: "c".into(),
            client_timeout_ns: 1_000_000_000,
        }],
        tenants: vec!["t".into()],
    }
}

pub fn record(sequence: u64) -> What {
    What::Record(Record {
        parts: 5,
        key: sequence * 7,
        sequence,
        arrived_ms: 1_000 + sequence,
        outcome: Outcome::Whole.into(),
        ..Record::default()
    })
}

/// Writes records one by one and waits until each is written or lost, so that the queue never
/// fills up.
pub fn write(writer: &mut UsageLogWriter, sequences: std::ops::RangeInclusive<u64>) {
    let mut written_sequence = writer.written_sequence();
    for sequence in sequences {
        assert!(
            writer.try_enqueue(record(sequence)),
            "expected room in the queue for record {sequence}"
        );
        let runtime = tokio::runtime::Builder::new_current_thread()
            .build()
            .unwrap();
        runtime.block_on(async {
            written_sequence
                .wait_for(|written_sequence| *written_sequence >= sequence)
                .await
                .unwrap()
        });
    }
}

/// Writes one run with `record_count` records.
pub fn write_run(directory: &Path, segment_bytes: u64, record_count: u64) {
    let mut writer = writer::start_on(
        FileSystem,
        &settings(directory, segment_bytes),
        run_tables(),
        5_000_000,
    )
    .unwrap();
    write(&mut writer, 1..=record_count);
    writer.close();
}

/// All records and damage that a follower has delivered.
#[derive(Default)]
pub struct LogContents {
    pub records: Vec<LogPosition>,
    pub damage: Vec<Damage>,
}

impl LogContents {
    /// Returns the sequence numbers of all records.
    pub fn sequences(&self) -> Vec<u64> {
        self.records.iter().map(|record| record.sequence).collect()
    }

    /// Returns the sequence numbers of the records of one run.
    pub fn sequences_of(&self, incarnation: u64) -> Vec<u64> {
        let records = self.records.iter();
        records
            .filter(|record| record.incarnation == incarnation)
            .map(|record| record.sequence)
            .collect()
    }
}

/// Reads all entries of a log after a position.
pub fn follow(directory: &Path, after: LogPosition, max_entries: usize) -> LogContents {
    let mut follower = LogFollower::new(directory, after);
    let mut contents = LogContents::default();
    while let Some(batch) = follower.next_batch(max_entries).unwrap() {
        let incarnation = batch.header.as_ref().map_or(0, |header| header.incarnation);
        for entry in batch.entries {
            if let Some(What::Record(record)) = entry.what {
                assert_eq!(
                    (record.key, record.parts),
                    (record.sequence * 7, 5),
                    "wrong content of record {}",
                    record.sequence
                );
                contents.records.push(LogPosition {
                    incarnation,
                    sequence: record.sequence,
                });
            }
        }
        contents.damage.extend(batch.damage);
    }
    contents
}
