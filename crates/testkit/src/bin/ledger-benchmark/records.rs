//! Generator of random usage records.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use usage_ledger::log::append_frame;
use usage_ledger::wire::{entry::What, Entry, Outcome, Record};

/// Arrival time of the first record in Unix milliseconds.
pub const FIRST_RECORD_MS: i64 = 1_764_547_200_000;
/// Number of tenants of the records.
pub const TENANT_COUNT: u32 = 40;
/// Number of query classes of the records.
const CLASS_COUNT: u32 = 3;

/// Number of records over which the encoded size is averaged, and the sequence number before the
/// first one. Sequence numbers are those of a long log, because larger numbers take more bytes.
const SAMPLE_RECORDS: u64 = 100_000;
const SAMPLE_SEQUENCE_OFFSET: u64 = 1_000_000;

/// Returns a random record with the given sequence number and arrival time.
pub fn random_record(random: &mut StdRng, sequence: u64, arrived_ms: i64) -> Record {
    let repeat = random.random_bool(0.05);
    let outcome = if random.random_bool(0.9) {
        Outcome::Whole
    } else {
        Outcome::Refused
    };
    Record {
        sequence,
        tenant: random.random_range(0..TENANT_COUNT),
        class: random.random_range(0..CLASS_COUNT),
        arrived_ms: arrived_ms as u64,
        outcome: outcome.into(),
        share: 0,
        parts: random.random_range(2..12),
        attempts: random.random_range(2..14),
        crossed: random.random_range(0..4),
        repeat,
        key: random.random::<u64>() & !1 | 2,
        keyed: false,
    }
}

/// Prints the mean number of bytes per record in a usage log.
pub fn print_encoded_size() {
    let mut random = StdRng::seed_from_u64(3);
    let mut bytes = Vec::new();
    for record_number in 1..=SAMPLE_RECORDS {
        let arrived_ms = FIRST_RECORD_MS + record_number as i64;
        let record = random_record(
            &mut random,
            SAMPLE_SEQUENCE_OFFSET + record_number,
            arrived_ms,
        );
        let what = Some(What::Record(record));
        append_frame(&mut bytes, &Entry { what });
    }
    println!(
        "log: {:.1} bytes per record",
        bytes.len() as f64 / SAMPLE_RECORDS as f64
    );
}
