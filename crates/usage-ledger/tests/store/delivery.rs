//! Random records under random delivery.

use crate::harness::{batch, complete_record, mark, StoreHarness, BOUNDS, FIRST_MS, PERIOD_MS};
use proptest::prelude::*;
use usage_ledger::join::Joiner;
use usage_ledger::rate::UsageCounts;
use usage_ledger::wire::{entry::What, Outcome, Record};

const MEMBERS: [&str; 2] = ["n0", "n1"];

/// The random values of a record.
type Draw = (i64, u64, bool, i32, u8, u8);

/// Entries of one run of a member, delivered in this round.
struct Delivery {
    round: u8,
    member: usize,
    incarnation: u64,
    entries: Vec<What>,
}

/// The run of a member that is being recorded.
#[derive(Clone, Copy)]
struct Run {
    incarnation: u64,
    last_sequence: u64,
}

/// Makes deliveries of records. A member may end its run before a record: with a closing mark where
/// the bit of `ends` is 0, otherwise by a crash. Where the bit of `marks` is 0 a mark follows the
/// record.
fn deliveries(draws: &[Draw], ends: u64, marks: u64) -> Vec<Delivery> {
    let first_run = Run {
        incarnation: 1,
        last_sequence: 0,
    };
    let mut runs = [first_run; MEMBERS.len()];
    let mut deliveries = Vec::new();
    for (n, &(offset, key, repeat, outcome, dice, round)) in draws.iter().enumerate() {
        let bit_is_clear = |bits: u64| bits >> (n % 64) & 1 == 0;
        let member = usize::from(dice % 2);
        let run = &mut runs[member];
        let mut deliver = |incarnation, entries| {
            deliveries.push(Delivery {
                round,
                member,
                incarnation,
                entries,
            });
        };
        if dice < 2 && run.last_sequence > 0 {
            if bit_is_clear(ends) {
                let end = mark(run.last_sequence, FIRST_MS, true);
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
            ..complete_record(sequence, FIRST_MS + offset, key)
        };
        let mut entries = vec![What::Record(record)];
        if bit_is_clear(marks) {
            entries.push(mark(sequence, FIRST_MS, false));
        }
        deliver(run.incarnation, entries);
    }
    deliveries
}

/// The counts of all statements.
fn stated(harness: &StoreHarness) -> UsageCounts {
    let mut stated = UsageCounts::default();
    for stored in harness.store.statements().unwrap() {
        for line in &stored.statement.lines {
            stated += line.counts;
        }
    }
    stated
}

/// The counts of all records if they are joined at once.
fn joined(harness: &StoreHarness) -> UsageCounts {
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

    /// Random records of two members are delivered in random batches, some twice, some after their
    /// period was closed. Members and the settlement crash and are started again. All statements
    /// together have the counts of all records joined at once.
    #[test]
    fn statements_add_up_to_the_records_in_any_order_of_delivery(
        draws in prop::collection::vec((0i64..3 * PERIOD_MS, 0u64..4, any::<bool>(), 0i32..5, 0u8..8, 0u8..4), 1..60),
        ends in any::<u64>(), marks in any::<u64>(),
    ) {
        let mut harness = StoreHarness::new();
        let deliveries = deliveries(&draws, ends, marks);
        for round in 0..4u8 {
            for (n, delivery) in deliveries.iter().enumerate() {
                let is_repeated = delivery.round < round && n % 3 == 0;
                if delivery.round == round || is_repeated {
                    let batch = batch(delivery.incarnation, delivery.entries.clone());
                    harness.ingest(MEMBERS[delivery.member], &batch);
                }
            }
            harness.restart();
            harness.close(i64::from(round), &[]);
        }
        // One more period, for adjustments of the last one.
        harness.close(4, &[]);
        harness.assert_verified();
        let stated = stated(&harness);
        prop_assert_eq!(stated, joined(&harness));
        prop_assert_eq!(stated.records, draws.len() as i64);
    }
}
