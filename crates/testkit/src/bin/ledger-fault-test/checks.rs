//! The comparison of what clients sent with what the ledger states and exports.

use crate::check_list::CheckList;
use crate::ledger_commands::CORRECTION_MICRO_UNITS;
use crate::results::Results;
use crate::totals::{total_by_key, Totals, UseCounts, UseTotalKey};
use serde_json::Value;
use std::collections::BTreeSet;

/// Differing totals that are printed at most.
const MAX_SHOWN_DIFFERENCES: usize = 5;

/// Makes all comparisons; `expected_uses` is how many the clients were to make.
pub fn check_all(checks: &mut CheckList, results: &Results, expected_uses: u64) {
    check_totals(checks, results, expected_uses);
    check_answers(checks, results);
    check_retries(checks, results);
    check_documents(checks, results);
    check_amounts(checks, results);
    check_nothing_missing(checks, results);
}

fn check_totals(checks: &mut CheckList, results: &Results, expected_uses: u64) {
    let client_totals = total_by_key(&results.uses, results.load.period_ms);
    let differences = differences(&client_totals, &results.statements.totals);
    let shown = &differences[..differences.len().min(MAX_SHOWN_DIFFERENCES)];
    let all_uses_made = results.uses.len() as u64 == expected_uses;
    checks.check(
        "totals by tenant, class and period equal what clients sent",
        differences.is_empty() && !client_totals.is_empty() && all_uses_made,
        format!(
            "{} totals over {} statements, {} uses {}",
            client_totals.len(),
            results.statements.count,
            results.uses.len(),
            shown.join("; ")
        ),
    );
}

/// Describes each total that differs.
fn differences(clients: &Totals, ledger: &Totals) -> Vec<String> {
    clients
        .keys()
        .chain(ledger.keys())
        .filter(|key| clients.get(*key) != ledger.get(*key))
        .map(|key| {
            let UseTotalKey {
                period,
                tenant,
                class,
            } = key;
            format!(
                "{:?}: clients {:?}, ledger {:?}",
                (period, tenant, class),
                clients.get(key).map(to_array),
                ledger.get(key).map(to_array)
            )
        })
        .collect()
}

fn to_array(counts: &UseCounts) -> [i64; 3] {
    [counts.uses, counts.complete, counts.partial]
}

fn check_answers(checks: &mut CheckList, results: &Results) {
    let counters = &results.load.counters;
    let (unanswered, wrong) = (counters.unanswered.value(), counters.wrong.value());
    checks.check(
        "every query got one final answer",
        unanswered == 0 && wrong == 0,
        format!(
            "{} attempts, {} lost with the killed aggregator, {unanswered} unanswered, \
             {wrong} with wrong values, \
             {} later than the client's timeout",
            counters.attempts.value(),
            counters.lost.value(),
            counters.late.value()
        ),
    );
}

fn check_retries(checks: &mut CheckList, results: &Results) {
    let counters = &results.load.counters;
    let retries = counters.attempts.value() - results.uses.len() as u64;
    let crossed = counters.crossed.value();
    checks.check(
        "clients retried within and across aggregators",
        retries > 0 && crossed > 0,
        format!(
            "{retries} retries, {crossed} at another aggregator, {} after a rejection, {} abandoned",
            counters.rejected.value(),
            counters.abandoned.value()
        ),
    );
}

fn check_documents(checks: &mut CheckList, results: &Results) {
    let received_ids: BTreeSet<String> = results.received.by_id.keys().cloned().collect();
    let expected_ids = &results.document_list;
    let deliveries = results.deliveries();
    let conflicting = results.received.conflicting_deliveries;
    checks.check(
        "each document is received exactly once, unchanged",
        *expected_ids == received_ids
            && *expected_ids == results.files
            && conflicting == 0
            && !expected_ids.is_empty()
            // Unacknowledged deliveries were repeated.
            && deliveries as usize > expected_ids.len(),
        format!(
            "{} documents, {deliveries} deliveries, {} in the folder, {conflicting} with other bytes",
            received_ids.len(),
            results.files.len()
        ),
    );
}

fn check_amounts(checks: &mut CheckList, results: &Results) {
    let documents = results.received.by_id.values();
    let document_amount: i64 = documents
        .filter_map(|document| {
            let document: Value = serde_json::from_slice(&document.body).ok()?;
            document["amount"].as_i64()
        })
        .sum();
    let statement_amount = results.statements.amount;
    checks.check(
        "the documents' amounts are the sum of the statements and the credit",
        document_amount == statement_amount + CORRECTION_MICRO_UNITS,
        format!(
            "{document_amount} = {statement_amount} - {} micro-units",
            -CORRECTION_MICRO_UNITS
        ),
    );
}

fn check_nothing_missing(checks: &mut CheckList, results: &Results) {
    let missing = results.statements.missing_members;
    let lost = results.statements.lost_records;
    checks.check(
        "nothing is missing from the statements",
        missing == 0 && lost == 0,
        format!("{missing} members missing, {lost} records lost"),
    );
}
