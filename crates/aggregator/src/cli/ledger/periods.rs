//! `ledger periods`: prints the closed periods and their totals.

use super::{LedgerContext, LedgerError};
use crate::cli::output::{OutputFormat, Report};
use serde_json::{json, Value};
use usage_ledger::rate::UsageCounts;
use usage_ledger::statement::{Statement, StatementLine};
use usage_ledger::store::StoredStatement;

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

/// Number of digits of a statement's hash that are printed.
const SHORT_HASH_LENGTH: usize = 12;

/// Prints one row per statement.
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
        json!(own_counts(statement).requests),
        json!(adjustment_counts(statement).requests),
        json!(own_counts(statement).ambiguous),
        json!(missing.join(" ")),
        json!(statement.total),
        json!(stored.hash[..SHORT_HASH_LENGTH]),
    ]
}

/// Returns the sum of the lines of the period itself.
fn own_counts(statement: &Statement) -> UsageCounts {
    let lines = statement.lines.iter();
    sum_counts(lines.filter(|line| !line.is_adjustment))
}

/// Returns the sum of the lines that adjust earlier periods.
fn adjustment_counts(statement: &Statement) -> UsageCounts {
    let lines = statement.lines.iter();
    sum_counts(lines.filter(|line| line.is_adjustment))
}

fn sum_counts<'a>(lines: impl Iterator<Item = &'a StatementLine>) -> UsageCounts {
    let mut sum = UsageCounts::default();
    for line in lines {
        sum += line.counts;
    }
    sum
}
