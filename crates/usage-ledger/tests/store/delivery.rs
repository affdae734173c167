//! Random records that are delivered repeatedly, late and in any order.

use crate::harness::{
    batch, complete_record, watermark, StoreHarness, BOUNDS, FIRST_MS, PERIOD_MS,
};
use proptest::prelude::*;
use usage_ledger::join::Joiner;
use usage_ledger::rate::UsageCounts;
use usage_ledger::wire::{entry::What, Outcome, Record};

const MEMBERS: [&str; 2] = ["n0", "n1"];

/// Random values of a record: arrival time in milliseconds after [`FIRST_MS`], key, whether it is a
/// retry, outcome, selector of the member and of a restart, and round of the delivery.
type RandomRecord = (i64, u64, bool, i32, u8, u8);

/// Entries of one run of a member that are delivered together.
struct Delivery {
    round: u8,
    member: usize,
    incarnation: u64,
    entries: Vec<What>,
}

/// The current run of a member.
#[derive(Clone, Copy)]
struct Run {
    incarnation: u64,
    last_sequence: u64,
}

/// Returns the deliveries of records. The run of a member may end before a record: with a closing
/// watermark if the record's bit in `ends` is 0, otherwise by a crash. A watermark follows the
/// record if its bit in `watermarks` is 0.
fn deliveries(random_records: &[RandomRecord], ends: u64, watermarks: u64) -> Vec<Delivery> {
    let first_run = Run {
        incarnation: 1,
        last_sequence: 0,
    };
    let mut runs = [first_run; MEMBERS.len()];
    let mut deliveries = Vec::new();
    for (index, &(offset_ms, key, repeat, outcome, selector, round)) in
        random_records.iter().enumerate()
    {
        let is_bit_clear = |bits: u64| bits >> (index % 64) & 1 == 0;
        let member = usize::from(selector % 2);
        let run = &mut runs[member];
        let mut deliver = |incarnation, entries| {
            deliveries.push(Delivery {
                round,
                member,
                incarnation,
                entries,
            });
        };
        if selector < 2 && run.last_sequence > 0 {
            if is_bit_clear(ends) {
                let end = watermark(run.last_sequence, FIRST_MS, true);
                deliver(run.incarnation, vec![end]);
            }
            run.incarnation += 1;
            run.last_sequence = 0;
        }
        run.last_sequence += 1;
        let sequence = run.last_sequence;
        let keyed = key == 0;
        let key = if keyed { 1 } else { key * 2 };
        let is_partial = outcome == i32::from(Outcome::Partial);
        let record = Record {
            repeat,
            keyed,
            outcome,
            share: if is_partial { 600_000 } else { 0 },
            ..complete_record(sequence, FIRST_MS + offset_ms, key)
        };
        let mut entries = vec![What::Record(record)];
        if is_bit_clear(watermarks) {
            entries.push(watermark(sequence, FIRST_MS, false));
        }
        deliver(run.incarnation, entries);
    }
    deliveries
}

/// Returns the sum of the counts in all statements.
fn billed_counts(harness: &StoreHarness) -> UsageCounts {
    let mut billed = UsageCounts::default();
    for stored in harness.store.statements().unwrap() {
        for line in &stored.statement.lines {
            billed += line.counts;
        }
    }
    billed
}

/// Returns the counts of all records, joined at once.
fn joined_counts(harness: &StoreHarness) -> UsageCounts {
    let mut counts = UsageCounts::default();
    let mut joiner = Joiner::new(BOUNDS);
    for record in harness.store.records(i64::MIN, i64::MAX).unwrap() {
        joiner.push(record, &mut |request| counts.add(&request));
    }
    joiner.finish(&mut |request| counts.add(&request));
    counts
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random records of two members are delivered in random batches, some of them twice, some
    /// after their period was closed. Members and the settlement crash and restart. All statements
    /// together must have the counts of all records joined at once.
    #[test]
    fn statements_add_up_to_the_records_in_any_order_of_delivery(
        random_records in prop::collection::vec(
            (0i64..3 * PERIOD_MS, 0u64..4, any::<bool>(), 0i32..5, 0u8..8, 0u8..4),
            1..60,
        ),
        ends in any::<u64>(), watermarks in any::<u64>(),
    ) {
        let mut harness = StoreHarness::new();
        let deliveries = deliveries(&random_records, ends, watermarks);
        for round in 0..4u8 {
            for (index, delivery) in deliveries.iter().enumerate() {
                let is_repeated = delivery.round < round && index % 3 == 0;
                if delivery.round == round || is_repeated {
                    let batch = batch(delivery.incarnation, delivery.entries.clone());
                    harness.ingest(MEMBERS[delivery.member], &batch);
                }
            }
            harness.restart();
            harness.close(i64::from(round), &[]);
        }
        // One more period, whose statement adjusts the last one.
        harness.close(4, &[]);
        harness.assert_verified();
        let billed = billed_counts(&harness);
        prop_assert_eq!(billed, joined_counts(&harness));
        prop_assert_eq!(billed.records, random_records.len() as i64);
    }
}
