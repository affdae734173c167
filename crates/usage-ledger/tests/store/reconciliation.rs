//! Reconciliation of the ledger with the records of clients.

use crate::harness::{
    batch, calendar, complete_record, period, rejected, StoreHarness, BOUNDS, FIRST_MS, PERIOD_MS,
};
use usage_ledger::reconcile::{
    reconcile_with_clients, ClientUsageRow, DifferenceKind, RequestTotals, TotalKey,
};
use usage_ledger::wire::entry::What;

fn client_usage_row(at_ms: i64, outcome: &str, key: u64) -> ClientUsageRow {
    ClientUsageRow {
        at_ms,
        tenant: "t".into(),
        class: "c".into(),
        outcome: outcome.into(),
        tries: 1,
        key: format!("{key:016x}"),
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario whose whole report is compared"
)]
fn totals_and_single_requests_are_compared_within_the_range() {
    let mut harness = StoreHarness::new();
    let records = vec![
        What::Record(complete_record(1, FIRST_MS, 2)),
        What::Record(complete_record(2, FIRST_MS + 10, 4)),
        rejected(3, FIRST_MS + 20, 6),
        What::Record(complete_record(4, FIRST_MS + PERIOD_MS, 8)),
        What::Record(complete_record(5, FIRST_MS + 2 * PERIOD_MS, 10)),
    ];
    harness.ingest("n0", &batch(1, records));
    let client_rows = [
        client_usage_row(FIRST_MS + 2 * PERIOD_MS, "whole", 10),
        client_usage_row(FIRST_MS + PERIOD_MS + 1, "whole", 12),
        client_usage_row(FIRST_MS + 20, "whole", 6),
        client_usage_row(FIRST_MS, "whole", 2),
    ];
    let arrivals = FIRST_MS..FIRST_MS + 2 * PERIOD_MS;
    let report =
        reconcile_with_clients(&harness.store, &calendar(), BOUNDS, arrivals, &client_rows)
            .unwrap();
    let total = |period_number, totals| {
        let key = TotalKey {
            period: period(period_number).name(),
            tenant: "t".into(),
            class: "c".into(),
        };
        (key, totals)
    };
    let totals = [
        total(
            0,
            RequestTotals {
                ledger_requests: 3,
                client_requests: 2,
                ledger_answered: 2,
                client_answered: 2,
            },
        ),
        total(
            1,
            RequestTotals {
                ledger_requests: 1,
                client_requests: 1,
                ledger_answered: 1,
                client_answered: 1,
            },
        ),
    ];
    assert_eq!(report.totals, totals.into());
    assert_eq!(report.unequal_totals(), 1);
    let differences: Vec<_> = report
        .differences
        .iter()
        .map(|difference| {
            let outcomes = (
                difference.ledger_outcome.as_str(),
                difference.client_outcome.as_str(),
            );
            (difference.kind, difference.key.as_str(), outcomes)
        })
        .collect();
    assert_eq!(
        differences,
        [
            (
                DifferenceKind::OutcomeDiffers,
                "0000000000000006",
                ("refused", "whole")
            ),
            (
                DifferenceKind::OnlyAtClient,
                "000000000000000c",
                ("", "whole")
            ),
            (
                DifferenceKind::OnlyInLedger,
                "0000000000000004",
                ("whole", "")
            ),
            (
                DifferenceKind::OnlyInLedger,
                "0000000000000008",
                ("whole", "")
            ),
        ]
    );
    let texts: Vec<String> = report
        .differences
        .iter()
        .map(|difference| difference.kind.to_string())
        .collect();
    assert_eq!(
        texts,
        [
            "ended otherwise",
            "only the client has it",
            "only the ledger has it",
            "only the ledger has it"
        ]
    );
}
