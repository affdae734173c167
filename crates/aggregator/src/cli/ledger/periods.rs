//! `ledger periods`: the closed periods and their totals.

use super::{LedgerContext, LedgerError};
use crate::cli::output::{OutputFormat, Report};
use serde_json::{json, Value};
use usage_ledger::rate::UsageCounts;
use usage_ledger::store::{Statement, StoredStatement};

const COLUMNS: [&str; 9] = [
    "period",
    "end",
    "closed",
    "uses",
    "adjusted",
    "ambiguous",
    "missing",
    "total",
    "hash",
];

/// Characters of a statement's hash that are shown.
const SHORT_HASH_LENGTH: usize = 12;

/// Prints one row for each statement.
pub fn run(context: &LedgerContext, format: OutputFormat) -> Result<(), LedgerError> {
    let store = context.existing_store()?;
    let mut report = Report::new(&COLUMNS);
    for stored in store.statements()? {
        report.push(row(&stored));
    }
    Ok(report.print(format)?)
}

fn row(stored: &StoredStatement) -> Vec<Value> {
    let statement = &stored.statement;
    let missing: Vec<&str> = statement
        .members
        .iter()
        .filter(|member| member.is_missing)
        .map(|member| member.member.as_str())
        .collect();
    vec![
        json!(statement.period),
        json!(statement.period_end),
        json!(statement.closed_at),
        json!(sum(statement, false, |counts| counts.requests)),
        json!(sum(statement, true, |counts| counts.requests)),
        json!(sum(statement, false, |counts| counts.ambiguous)),
        json!(missing.join(" ")),
        json!(statement.total),
        json!(stored.hash[..SHORT_HASH_LENGTH]),
    ]
}

/// Sums one count over the lines of the period itself, or over those that adjust earlier periods.
fn sum(statement: &Statement, adjustments: bool, count: fn(&UsageCounts) -> i64) -> i64 {
    let lines = statement.lines.iter();
    lines
        .filter(|line| line.is_adjustment == adjustments)
        .map(|line| count(&line.counts))
        .sum()
}
