//! Measures the speed and the peak memory of the ledger when it ingests and settles records.

use crate::error::BenchError;
use crate::records::{random_record, FIRST_RECORD_MS, TENANT_COUNT};
use aggregator_testkit::installation::CLASSES;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use usage_ledger::join::JoinBounds;
use usage_ledger::period::{Calendar, Period, PeriodLength};
use usage_ledger::settings::Price;
use usage_ledger::store::{ClosingTerms, Store};
use usage_ledger::wire::{entry::What, Batch, Class, Entry, Header};

const MEMBER: &str = "n0";
const BOUNDS: JoinBounds = JoinBounds {
    horizon_ms: 2000,
    skew_ms: 100,
};
const DAY_MS: i64 = 86_400_000;
const MAX_BATCH_ENTRIES: usize = 4096;

/// Ingests and settles `records` records of one period. Prints the records per second and the peak
/// memory.
pub fn measure(records: u64) -> Result<(), BenchError> {
    let folder = tempfile::tempdir()?;
    let mut store = Store::open(&folder.path().join("ledger.sqlite"))?;
    let ingest_time = ingest(&mut store, records)?;
    let settlement_time = settle(&mut store, records)?;
    let per_second = |time: Duration| records as f64 / time.as_secs_f64();
    println!(
        "{records} records: ingested {:.0} per second, settled {:.0} per second, peak memory{}",
        per_second(ingest_time),
        per_second(settlement_time),
        peak_memory()?
    );
    Ok(())
}

/// Returns the length of a period with `records` records at a rate of 1,000 per second.
fn period_length_ms(records: u64) -> i64 {
    records as i64
}

/// Ingests random records in batches. Returns the time spent in the store.
fn ingest(store: &mut Store, records: u64) -> Result<Duration, BenchError> {
    let mut random = StdRng::seed_from_u64(7);
    let length_ms = period_length_ms(records);
    let calendar = Calendar(PeriodLength::Milliseconds(DAY_MS));
    let header = header();
    let (mut ingest_time, mut sequence) = (Duration::ZERO, 0);
    while sequence < records {
        let mut batch = Batch {
            header: Some(header.clone()),
            ..Batch::default()
        };
        while batch.entries.len() < MAX_BATCH_ENTRIES && sequence < records {
            sequence += 1;
            let arrived_ms = FIRST_RECORD_MS + sequence as i64 * length_ms / records as i64;
            let record = random_record(&mut random, sequence, arrived_ms);
            batch.entries.push(Entry {
                what: Some(What::Record(record)),
            });
        }
        let started = Instant::now();
        store.ingest(MEMBER, &batch, &calendar, BOUNDS)?;
        ingest_time += started.elapsed();
    }
    Ok(ingest_time)
}

/// Closes the period of the records. Returns the time that the closing took.
fn settle(store: &mut Store, records: u64) -> Result<Duration, BenchError> {
    let price = Price {
        complete: 100,
        partial: 90,
    };
    let prices = CLASSES
        .iter()
        .map(|class| (class.name.to_string(), price))
        .collect();
    let terms = ClosingTerms {
        bounds: BOUNDS,
        prices: &prices,
        allowances: &BTreeMap::new(),
        members: vec![MEMBER.into()],
        missing: &[],
        now_ms: FIRST_RECORD_MS,
    };
    let period = Period {
        start_ms: FIRST_RECORD_MS,
        end_ms: FIRST_RECORD_MS + period_length_ms(records) + 1,
    };
    let started = Instant::now();
    let statement = store.close_period(period, &terms)?;
    let time = started.elapsed();
    let settled: i64 = statement.lines.iter().map(|line| line.counts.records).sum();
    if settled as u64 != records {
        return Err(BenchError::RecordsMissing { settled, records });
    }
    Ok(time)
}

fn header() -> Header {
    Header {
        version: 1,
        mixer: MEMBER.into(),
        incarnation: 1,
        first_sequence: 1,
        classes: CLASSES
            .map(|class| Class {
                name: class.name.into(),
                give_up_ms: class.timeout_ms,
            })
            .to_vec(),
        tenants: (0..TENANT_COUNT)
            .map(|number| format!("library-{number}"))
            .collect(),
    }
}

/// Returns the peak memory of this process in the kernel's format, with leading white space.
fn peak_memory() -> Result<String, BenchError> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap_or_default();
    Ok(peak.to_string())
}
