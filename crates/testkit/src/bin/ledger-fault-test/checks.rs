//! Comparison of the clients' records with the ledger's statements and exported documents.

use crate::check_list::CheckList;
use crate::ledger_commands::CORRECTION_MICRO_UNITS;
use crate::results::Results;
use crate::totals::{total_by_key, RequestCounts, RequestCountsKey, Totals};
use serde_json::Value;
use std::collections::BTreeSet;

/// Maximum number of differing totals that are printed.
const MAX_SHOWN_DIFFERENCES: usize = 5;

/// Makes all comparisons. `expected_requests` is the number of logical requests that the clients
/// had to send.
pub fn check_all(checks: &mut CheckList, results: &Results, expected_requests: u64) {
    check_totals(checks, results, expected_requests);
    check_answers(checks, results);
    check_retries(checks, results);
    check_documents(checks, results);
    check_amounts(checks, results);
    check_completeness(checks, results);
}

fn check_totals(checks: &mut CheckList, results: &Results, expected_requests: u64) {
    let client_totals = total_by_key(&results.requests, results.load.period_ms);
    let differences = differences(&client_totals, &results.statements.totals);
    let shown_differences = &differences[..differences.len().min(MAX_SHOWN_DIFFERENCES)];
    let all_requests_sent = results.requests.len() as u64 == expected_requests;
    checks.check(
        "clients sent all requests, and the totals by tenant, class and period equal theirs",
        differences.is_empty() && !client_totals.is_empty() && all_requests_sent,
        format!(
            "{} totals over {} statements, {} of {expected_requests} logical requests sent; \
             differences: [{}]",
            client_totals.len(),
            results.statements.count,
            results.requests.len(),
            shown_differences.join("; ")
        ),
    );
}

/// Returns a description of each total that differs.
fn differences(client_totals: &Totals, ledger_totals: &Totals) -> Vec<String> {
    client_totals
        .keys()
        .chain(ledger_totals.keys())
        .filter(|key| client_totals.get(*key) != ledger_totals.get(*key))
        .map(|key| {
            let RequestCountsKey {
                period,
                tenant,
                class,
            } = key;
            format!(
                "{:?}: clients {:?}, ledger {:?}",
                (period, tenant, class),
                client_totals.get(key).map(to_array),
                ledger_totals.get(key).map(to_array)
            )
        })
        .collect()
}

fn to_array(counts: &RequestCounts) -> [i64; 3] {
    [counts.requests, counts.complete, counts.partial]
}

/// Checks that attempts got responses and that answers are correct. Rejections and error responses
/// count as responses. Attempts that their client abandoned, and connections lost to an aggregator
/// that had been killed, are excluded.
fn check_answers(checks: &mut CheckList, results: &Results) {
    let counters = &results.load.counters;
    let (unanswered, incorrect) = (counters.unanswered.value(), counters.incorrect.value());
    checks.check(
        "no attempt without a response, and no incorrect answer",
        unanswered == 0 && incorrect == 0,
        format!(
            "{} attempts, {} connections lost, {unanswered} attempts unanswered, \
             {incorrect} incorrect answers, \
             {} attempts ended after the client timeout",
            counters.attempts.value(),
            counters.lost.value(),
            counters.late.value()
        ),
    );
}

fn check_retries(checks: &mut CheckList, results: &Results) {
    let counters = &results.load.counters;
    let retries = counters.attempts.value() - results.requests.len() as u64;
    let crossed = counters.crossed.value();
    checks.check(
        "clients retried, and switched to another aggregator",
        retries > 0 && crossed > 0,
        format!(
            "{retries} retries, {crossed} switches of the aggregator, {} rejections, {} attempts abandoned",
            counters.rejected.value(),
            counters.abandoned.value()
        ),
    );
}

fn check_documents(checks: &mut CheckList, results: &Results) {
    let received_ids: BTreeSet<String> = results.received_documents.by_id.keys().cloned().collect();
    let expected_ids = &results.listed_documents;
    let deliveries = results.deliveries();
    let conflicting_deliveries = results.received_documents.conflicting_deliveries;
    checks.check(
        "every document is in the folder and was received, with the same content in each delivery",
        *expected_ids == received_ids
            && *expected_ids == results.exported_documents
            && conflicting_deliveries == 0
            && !expected_ids.is_empty()
            // The first deliveries are not acknowledged, so some must have been repeated.
            && deliveries as usize > expected_ids.len(),
        format!(
            "{} documents, {deliveries} deliveries, {} files in the folder, \
             {conflicting_deliveries} conflicting deliveries",
            received_ids.len(),
            results.exported_documents.len()
        ),
    );
}

fn check_amounts(checks: &mut CheckList, results: &Results) {
    let documents = results.received_documents.by_id.values();
    let document_amount: i64 = documents
        .filter_map(|document| {
            let document: Value = serde_json::from_slice(&document.body).ok()?;
            document["amount"].as_i64()
        })
        .sum();
    let statement_amount = results.statements.amount;
    checks.check(
        "amounts of the documents add up to those of the statements and the credit",
        document_amount == statement_amount + CORRECTION_MICRO_UNITS,
        format!(
            "documents {document_amount}, statements {statement_amount}, \
             credit {CORRECTION_MICRO_UNITS} micro-units"
        ),
    );
}

fn check_completeness(checks: &mut CheckList, results: &Results) {
    let missing_members = results.statements.missing_members;
    let lost_records = results.statements.lost_records;
    checks.check(
        "statements include all records of all members",
        missing_members == 0 && lost_records == 0,
        format!("{missing_members} missing members, {lost_records} lost records"),
    );
}
