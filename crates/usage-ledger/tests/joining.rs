//! Joining, settling and adjusting, compared with a naive model under random retries, crashes,
//! reordering and late records.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use usage_ledger::closing_decision::{decide_closing, ClosingDecision, MemberProgress};
use usage_ledger::join::{
    JoinBounds, Joiner, LogicalRequest, RecordId, RecordedOutcome, UsageRecord,
};
use usage_ledger::line_counts::{adjustments, LineCounts, LineKey};
use usage_ledger::period::Period;
use usage_ledger::period_settler::{CarryOver, PeriodSettler};
use usage_ledger::rate::UsageCounts;

const SKEW_MS: i64 = 20;
const CLIENT_TIMEOUT_MS: i64 = 100;
const HORIZON_MS: i64 = 150;
const PERIOD_MS: i64 = 400;
const GRACE_MS: i64 = 1000;
const BOUNDS: JoinBounds = JoinBounds {
    horizon_ms: HORIZON_MS,
    skew_ms: SKEW_MS,
};

fn first_record(arrived_at_ms: i64, sequence: u64) -> UsageRecord {
    UsageRecord {
        arrived_at_ms,
        member_id: 1,
        incarnation: 1,
        sequence,
        tenant_id: 1,
        class_id: 1,
        outcome: RecordedOutcome::Rejected,
        parts: 2,
        attempts: 3,
        cross_zone_attempts: 1,
        is_retry: false,
        key: 2,
        has_idempotency_key: false,
        client_timeout_ms: CLIENT_TIMEOUT_MS,
        is_reply_uncertain: false,
    }
}

fn join(mut records: Vec<UsageRecord>) -> Vec<LogicalRequest> {
    records.sort_by_key(UsageRecord::id);
    let mut requests = Vec::new();
    let mut joiner = Joiner::new(BOUNDS);
    for record in records {
        joiner.push(record, &mut |request| requests.push(request));
    }
    joiner.finish(&mut |request| requests.push(request));
    requests.sort_by_key(|request| request.first().id());
    requests
}

fn is_answered(record: &UsageRecord) -> bool {
    matches!(
        record.outcome,
        RecordedOutcome::Complete | RecordedOutcome::Partial(_)
    )
}

/// Joins all records at once: a naive implementation of the rules in the documentation of the
/// module `join`. Returns the ids of the records of each logical request.
fn join_naively(mut records: Vec<UsageRecord>) -> Vec<Vec<RecordId>> {
    records.sort_by_key(UsageRecord::id);
    let is_first = |record: &&UsageRecord| !record.is_retry && !record.has_idempotency_key;
    let firsts = records.iter().filter(is_first);
    let mut requests: Vec<Vec<UsageRecord>> = firsts.map(|record| vec![*record]).collect();
    for retry in records.iter().filter(|record| !is_first(record)) {
        let group = |record: &UsageRecord| {
            (
                record.tenant_id,
                record.class_id,
                record.key,
                record.has_idempotency_key,
            )
        };
        let window_ms = if retry.has_idempotency_key {
            HORIZON_MS
        } else {
            CLIENT_TIMEOUT_MS
        };
        let is_candidate = |request: &&mut Vec<UsageRecord>| {
            let (first, last) = (request[0], request[request.len() - 1]);
            let may_be_joined =
                retry.has_idempotency_key || last.is_reply_uncertain || !is_answered(&last);
            group(&first) == group(retry)
                && first.arrived_at_ms + window_ms + SKEW_MS >= retry.arrived_at_ms
                && last.arrived_at_ms <= retry.arrived_at_ms + SKEW_MS
                && may_be_joined
        };
        let rank = |request: &&mut Vec<UsageRecord>| {
            let (first, last) = (request[0], request[request.len() - 1]);
            let is_answered = !retry.has_idempotency_key && is_answered(&last);
            let id = if retry.has_idempotency_key {
                first.id()
            } else {
                last.id()
            };
            (is_answered, last.arrived_at_ms > retry.arrived_at_ms, id)
        };
        match requests.iter_mut().filter(is_candidate).min_by_key(rank) {
            Some(request) => request.push(*retry),
            None => requests.push(vec![*retry]),
        }
    }
    sorted_ids(requests.iter().map(Vec::as_slice))
}

fn sorted_ids<'a>(requests: impl Iterator<Item = &'a [UsageRecord]>) -> Vec<Vec<RecordId>> {
    let ids = |records: &[UsageRecord]| records.iter().map(UsageRecord::id).collect();
    let mut ids: Vec<Vec<RecordId>> = requests.map(ids).collect();
    ids.sort();
    ids
}

fn arbitrary_records() -> impl Strategy<Value = Vec<UsageRecord>> {
    let outcome = prop_oneof![
        Just(RecordedOutcome::Complete),
        (1u32..1_000_000).prop_map(RecordedOutcome::Partial),
        Just(RecordedOutcome::Rejected),
        Just(RecordedOutcome::Rejected),
        Just(RecordedOutcome::Failed),
        Just(RecordedOutcome::Cancelled),
    ];
    let fields = (
        0i64..1600,
        1u32..4,
        1u32..3,
        1u64..4,
        any::<bool>(),
        outcome,
        0u8..8,
    );
    let record = |(arrived_at_ms, member_id, tenant_id, key, is_retry, outcome, selector)| {
        let has_idempotency_key = selector == 0;
        UsageRecord {
            member_id,
            tenant_id,
            key: key * 2 + u64::from(has_idempotency_key),
            has_idempotency_key,
            is_retry,
            outcome,
            is_reply_uncertain: selector == 1,
            ..first_record(arrived_at_ms, 0)
        }
    };
    prop::collection::vec(fields.prop_map(record), 0..60).prop_map(|mut records| {
        for (index, record) in records.iter_mut().enumerate() {
            record.sequence = index as u64 + 1;
        }
        records
    })
}

/// Settles one period in the same way as the store. `previous` is the carry-over of the previous
/// period.
fn settle(
    records: &[UsageRecord],
    period: Period,
    previous: &CarryOver,
) -> (LineCounts, CarryOver) {
    let arrivals = BOUNDS.arrivals(period);
    let records = records.iter().copied();
    let mut arrived_records: Vec<UsageRecord> = records
        .filter(|record| arrivals.contains(&record.arrived_at_ms))
        .collect();
    arrived_records.sort_by_key(UsageRecord::id);
    let mut settler = PeriodSettler::new(period, BOUNDS, previous.clone());
    arrived_records
        .into_iter()
        .for_each(|record| settler.push(record));
    let settled = settler.finish();
    (settled.lines, settled.carry_over)
}

/// Returns the period with this number. Period 0 starts at time 0.
fn period(number: i64) -> Period {
    Period {
        start_ms: number * PERIOD_MS,
        end_ms: (number + 1) * PERIOD_MS,
    }
}

fn total(lines: impl IntoIterator<Item = UsageCounts>) -> UsageCounts {
    let mut sum = UsageCounts::default();
    lines.into_iter().for_each(|counts| sum += counts);
    sum
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_joiner_agrees_with_the_naive_model_and_joins_each_record_once(records in arbitrary_records()) {
        let requests = join(records.clone());
        let joined = sorted_ids(requests.iter().map(|request| request.records.as_slice()));
        prop_assert_eq!(joined, join_naively(records.clone()));
        let ids: Vec<RecordId> =
            requests.iter().flat_map(|request| request.records.iter().map(UsageRecord::id)).collect();
        let distinct: BTreeSet<RecordId> = ids.iter().copied().collect();
        prop_assert_eq!(distinct.len(), ids.len());
        prop_assert_eq!(distinct.len(), records.len());
    }

    #[test]
    fn periods_settled_one_by_one_have_the_same_counts_as_one_join(records in arbitrary_records()) {
        let mut expected: BTreeMap<i64, LineCounts> = BTreeMap::new();
        for request in join(records.clone()) {
            let first = request.first();
            let key = LineKey { tenant_id: first.tenant_id, class_id: first.class_id };
            let lines = expected.entry(first.arrived_at_ms.div_euclid(PERIOD_MS)).or_default();
            lines.entry(key).or_default().add(&request);
        }
        let mut carry_over = CarryOver::default();
        for number in 0..4 {
            let (lines, next) = settle(&records, period(number), &carry_over);
            let expected_lines = expected.remove(&number).unwrap_or_default();
            prop_assert_eq!(lines, expected_lines, "wrong counts in period {}", number);
            carry_over = next;
        }
        prop_assert!(expected.is_empty());
    }

    /// Some records are collected only after their periods were closed. Statements and adjustments
    /// together must have the counts of all records.
    #[test]
    fn adjustments_account_for_late_records(records in arbitrary_records(), late in any::<u64>()) {
        let is_early = |record: &&UsageRecord| late >> (record.sequence % 64) & 1 == 0;
        let early: Vec<UsageRecord> = records.iter().filter(is_early).copied().collect();
        let mut billed: Vec<LineCounts> = Vec::new();
        let mut carry_over = CarryOver::default();
        for number in 0..4 {
            let (lines, next) = settle(&early, period(number), &carry_over);
            billed.push(lines);
            carry_over = next;
        }
        let mut carry_over = CarryOver::default();
        for (number, billed) in (0..4).zip(&billed) {
            let (current, next) = settle(&records, period(number), &carry_over);
            let adjusted = adjustments(&current, billed);
            let both = billed.values().chain(adjusted.values()).copied();
            prop_assert_eq!(total(both), total(current.values().copied()));
            carry_over = next;
        }
    }
}

mod retries {
    use super::{first_record, join, CLIENT_TIMEOUT_MS, SKEW_MS};
    use usage_ledger::join::{RecordedOutcome, UsageRecord};

    fn retry(arrived_at_ms: i64, sequence: u64) -> UsageRecord {
        UsageRecord {
            is_retry: true,
            ..first_record(arrived_at_ms, sequence)
        }
    }

    fn complete(record: UsageRecord) -> UsageRecord {
        UsageRecord {
            outcome: RecordedOutcome::Complete,
            ..record
        }
    }

    #[test]
    fn are_joined_one_to_one_and_in_order() {
        // Two clients send the same query at the same time.
        let requests = join(vec![
            first_record(0, 1),
            first_record(0, 2),
            complete(retry(30, 3)),
            complete(retry(31, 4)),
        ]);
        assert_eq!(requests.len(), 2);
        assert!(requests
            .iter()
            .all(|request| request.outcome == RecordedOutcome::Complete
                && request.records.len() == 2));
        assert!(
            !requests[0].ambiguous.is_empty(),
            "expected an ambiguous retry, since it could join either request"
        );
    }

    #[test]
    fn without_a_first_request_start_a_logical_request() {
        let requests = join(vec![complete(retry(30, 1))]);
        assert_eq!((requests.len(), requests[0].ambiguous.len()), (1, 0));
    }

    #[test]
    fn do_not_join_an_answered_request() {
        let requests = join(vec![complete(first_record(0, 1)), complete(retry(30, 2))]);
        assert_eq!((requests.len(), requests[1].ambiguous.len()), (2, 1));
    }

    #[test]
    fn join_an_answered_request_whose_reply_is_uncertain() {
        let uncertain = UsageRecord {
            is_reply_uncertain: true,
            ..complete(first_record(0, 1))
        };
        assert_eq!(join(vec![uncertain, complete(retry(30, 2))]).len(), 1);
    }

    #[test]
    fn are_joined_within_the_client_timeout() {
        assert_eq!(
            join(vec![
                first_record(0, 1),
                retry(CLIENT_TIMEOUT_MS + SKEW_MS, 2)
            ])
            .len(),
            1
        );
        assert_eq!(
            join(vec![
                first_record(0, 1),
                retry(CLIENT_TIMEOUT_MS + SKEW_MS + 1, 2)
            ])
            .len(),
            2
        );
    }

    /// The clock of the second aggregator is behind: the retry seems to arrive before its first
    /// request.
    #[test]
    fn are_joined_within_the_clock_skew() {
        let requests = join(vec![
            first_record(100, 1),
            complete(retry(100 - SKEW_MS, 2)),
        ]);
        assert_eq!(
            (requests.len(), requests[0].first().arrived_at_ms),
            (1, 100)
        );
        assert_eq!(
            join(vec![first_record(100, 1), complete(retry(99 - SKEW_MS, 2))]).len(),
            2
        );
    }
}

#[test]
fn an_idempotency_key_joins_records_whatever_their_outcome() {
    let keyed = |arrived_at_ms, sequence, outcome| UsageRecord {
        has_idempotency_key: true,
        key: 7,
        outcome,
        ..first_record(arrived_at_ms, sequence)
    };
    let records = vec![
        keyed(0, 1, RecordedOutcome::Complete),
        keyed(40, 2, RecordedOutcome::Partial(700_000)),
        keyed(HORIZON_MS, 3, RecordedOutcome::Rejected),
        UsageRecord {
            tenant_id: 2,
            ..keyed(10, 4, RecordedOutcome::Complete)
        },
    ];
    let requests = join(records);
    assert_eq!(
        requests
            .iter()
            .map(|request| (request.records.len(), request.outcome))
            .collect::<Vec<_>>(),
        [
            (3, RecordedOutcome::Complete),
            (1, RecordedOutcome::Complete)
        ]
    );
}

#[test]
fn a_period_waits_for_missing_members_until_the_grace_period_is_over() {
    let progress = |member: &str, complete_until_ms| MemberProgress {
        member: member.into(),
        complete_until_ms,
    };
    let until_ms = BOUNDS.arrivals(period(0)).end;
    let members = |until_ms_of_b| [progress("a", Some(until_ms)), progress("b", until_ms_of_b)];
    let decide = |now_ms, members: &[MemberProgress]| {
        decide_closing(period(0), BOUNDS, GRACE_MS, now_ms, members)
    };
    assert_eq!(
        decide(until_ms, &members(Some(until_ms))),
        ClosingDecision::Complete
    );
    assert_eq!(
        decide(until_ms, &members(Some(until_ms - 1))),
        ClosingDecision::Wait(vec!["b".into()])
    );
    assert_eq!(
        decide(until_ms + GRACE_MS - 1, &members(None)),
        ClosingDecision::Wait(vec!["b".into()])
    );
    assert_eq!(
        decide(until_ms + GRACE_MS, &members(None)),
        ClosingDecision::Incomplete(vec!["b".into()])
    );
    assert_eq!(
        decide(until_ms - 1, &members(Some(until_ms))),
        ClosingDecision::Wait(vec![]),
        "expected a wait: a member whose clock is ahead must not close the period early"
    );
}
