//! Closing periods: late records, clock skew, and runs that ended without a closing watermark.

use crate::harness::{
    adjusted_requests, batch, complete_record, header, own_requests, period, rejected, retry,
    watermark, StoreHarness, FIRST_MS, PERIOD_MS,
};
use usage_ledger::wire::{entry::What, Batch, Entry};

#[test]
fn late_records_adjust_the_next_statement_and_leave_closed_ones_unchanged() {
    let mut harness = StoreHarness::new();
    // A retry near the start of a period, whose first request has not been collected yet.
    let retry_without_first_request = batch(
        1,
        vec![
            retry(complete_record(1, FIRST_MS + PERIOD_MS + 30, 4)),
            watermark(1, FIRST_MS + 9000, false),
        ],
    );
    harness.ingest("n0", &retry_without_first_request);
    let empty_statement = harness.close(0, &["n1"]);
    assert_eq!(
        (
            own_requests(&empty_statement),
            empty_statement.members[1].is_missing,
            empty_statement.members[1].complete_until.clone()
        ),
        (0, true, None)
    );
    let first_statement = harness.close(1, &["n1"]);
    assert_eq!(
        (own_requests(&first_statement), first_statement.total),
        (1, 10)
    );
    let closed_statements = harness.store.statements().unwrap();
    // The first request is collected late: both records form one logical request, which belongs to
    // the period of the first request.
    let summary = harness.ingest(
        "n1",
        &batch(
            7,
            vec![
                rejected(1, FIRST_MS + PERIOD_MS - 20, 4),
                watermark(1, FIRST_MS + 9000, false),
            ],
        ),
    );
    assert_eq!(summary.late, 1);
    let next_statement = harness.close(2, &[]);
    let lines: Vec<(String, i64, i64)> = next_statement
        .lines
        .iter()
        .map(|line| (line.period.clone(), line.counts.requests, line.amount))
        .collect();
    assert_eq!(
        lines,
        [(period(0).name(), 1, 10), (period(1).name(), -1, -10)]
    );
    assert_eq!(
        harness.store.statements().unwrap()[..2],
        closed_statements[..],
        "expected closed statements to keep their bytes"
    );
    harness.assert_verified();
}

#[test]
fn a_late_record_from_before_the_first_period_is_not_lost() {
    let mut harness = StoreHarness::new();
    harness.ingest(
        "n0",
        &batch(1, vec![What::Record(complete_record(1, FIRST_MS + 10, 2))]),
    );
    harness.close(0, &[]);
    harness.ingest(
        "n0",
        &batch(
            1,
            vec![What::Record(complete_record(
                2,
                FIRST_MS - 5 * PERIOD_MS + 10,
                4,
            ))],
        ),
    );
    let next_statement = harness.close(1, &[]);
    assert_eq!(
        (
            adjusted_requests(&next_statement),
            next_statement.lines[0].period.clone()
        ),
        (1, period(-5).name())
    );
    harness.assert_verified();
}

#[test]
fn each_request_is_counted_once_despite_clock_skew_and_clock_steps() {
    let mut harness = StoreHarness::new();
    // The clock of n1 is behind: the retry seems to arrive before its first request, in the
    // previous period.
    harness.ingest(
        "n0",
        &batch(
            1,
            vec![
                rejected(1, FIRST_MS + PERIOD_MS + 5, 4),
                watermark(1, FIRST_MS + 5000, false),
            ],
        ),
    );
    harness.ingest(
        "n1",
        &batch(
            1,
            vec![
                retry(complete_record(1, FIRST_MS + PERIOD_MS - 10, 4)),
                watermark(1, FIRST_MS + 5000, false),
            ],
        ),
    );
    assert_eq!(own_requests(&harness.close(0, &[])), 0);
    let first_statement = harness.close(1, &[]);
    assert_eq!(
        (
            own_requests(&first_statement),
            first_statement.lines[0].counts.complete,
            first_statement.lines[0].counts.records
        ),
        (1, 1, 2)
    );
    // The clock of n0 steps back at a restart: records of the new run are late, but still counted.
    harness.ingest(
        "n0",
        &batch(
            2,
            vec![
                What::Record(complete_record(1, FIRST_MS + 500, 6)),
                watermark(1, FIRST_MS + 900, false),
            ],
        ),
    );
    assert_eq!(
        harness.store.member_statuses().unwrap()[0].complete_until_ms,
        FIRST_MS + 900,
        "expected the watermark of the latest run"
    );
    let second_statement = harness.close(2, &[]);
    assert_eq!(
        (
            adjusted_requests(&second_statement),
            second_statement.lines[0].period.clone()
        ),
        (1, period(0).name())
    );
    harness.assert_verified();
}

#[test]
fn an_answer_of_a_run_without_a_closing_watermark_may_be_retried() {
    let mut harness = StoreHarness::new();
    let records_before_the_crash = vec![
        watermark(0, FIRST_MS, false),
        What::Record(complete_record(1, FIRST_MS + 10, 4)),
    ];
    harness.ingest("n0", &batch(1, records_before_the_crash));
    harness.ingest(
        "n1",
        &batch(
            1,
            vec![
                retry(complete_record(1, FIRST_MS + 60, 4)),
                watermark(1, FIRST_MS + 5000, false),
            ],
        ),
    );
    // The run of n0 may still be in progress: its answer counts as sent, and the retry as another
    // logical request.
    let first_statement = harness.close(0, &["n0"]);
    assert_eq!(
        (
            own_requests(&first_statement),
            first_statement.lines[0].counts.ambiguous
        ),
        (2, 1)
    );
    // A later run of n0 has started and the earlier one has no closing watermark: the answer may
    // not have been sent, so the retry joins that request.
    harness.ingest("n0", &batch(2, vec![watermark(0, FIRST_MS + 5000, false)]));
    let next_statement = harness.close(1, &[]);
    assert_eq!(
        (
            adjusted_requests(&next_statement),
            next_statement.total,
            next_statement.members[0].unclosed_runs
        ),
        (-1, -10, 1)
    );
    harness.assert_verified();
}

#[test]
fn statements_report_gaps_crashes_and_damage_and_keep_removed_tenants() {
    let mut harness = StoreHarness::new();
    let mut records = batch(
        1,
        vec![
            What::Record(complete_record(1, FIRST_MS, 2)),
            What::Record(complete_record(5, FIRST_MS + 1, 4)),
        ],
    );
    records.damage.push(usage_ledger::wire::Damage {
        segment: "s".into(),
        from: 3,
        to: 9,
    });
    harness.ingest("n0", &records);
    harness.ingest("n0", &batch(1, vec![watermark(7, FIRST_MS + 10, false)]));
    // Tenant `t` was removed from the settings before the next run.
    let next_run = Batch {
        header: header(2, &["u"]),
        entries: vec![Entry {
            what: Some(What::Record(complete_record(1, FIRST_MS + 20, 6))),
        }],
        damage: Vec::new(),
    };
    harness.ingest("n0", &next_run);
    let statement = harness.close(0, &["n1"]);
    let member = &statement.members[0];
    assert_eq!(
        (
            member.lost_records,
            member.unclosed_runs,
            member.damaged_ranges
        ),
        (5, 1, 1)
    );
    let requests_by_tenant: Vec<(&str, i64)> = statement
        .lines
        .iter()
        .map(|line| (line.tenant.as_str(), line.counts.requests))
        .collect();
    assert_eq!(requests_by_tenant, [("t", 2), ("u", 1)]);
}
