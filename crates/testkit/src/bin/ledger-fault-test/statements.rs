//! Statements and exported documents of the ledger.

use crate::timestamps::parse_ms;
use crate::totals::{RequestCountsKey, Totals};
use aggregator_testkit::installation::InstalledLedger;
use aggregator_testkit::test_program::TestProgramError;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// Interval and maximum number of checks that the last period has been settled and exported.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_POLLS: u32 = 600;

/// Sums over the statements of all periods.
#[derive(Default)]
pub struct Statements {
    /// Number of statements.
    pub count: usize,
    /// Numbers of logical requests by period, tenant and class.
    pub totals: Totals,
    /// Total amount in micro-units.
    pub amount: i64,
    /// Number of lines that adjust an earlier period.
    pub adjustments: usize,
    /// Number of lost records in the last statement, which includes those of earlier statements.
    pub lost_records: i64,
    /// Number of members whose records are missing, summed over the statements.
    pub missing_members: usize,
}

/// Waits until the period that contains `last_ms` is settled and all documents are exported, or
/// until the maximum number of checks is reached. Returns the settled periods, as listed by `ledger
/// periods`.
pub async fn wait_for_all(
    ledger: &InstalledLedger,
    last_ms: u64,
) -> Result<Vec<Value>, TestProgramError> {
    let mut periods = Vec::new();
    for _ in 0..MAX_POLLS {
        periods = array(ledger.run_json(["periods"])?);
        let settled_until_ms = periods
            .last()
            .and_then(|period| period["end"].as_str())
            .and_then(parse_ms);
        let exports = array(list_exports(ledger)?);
        let all_exported = !exports.is_empty() && exports.iter().all(is_exported);
        if settled_until_ms.is_some_and(|end_ms| end_ms > last_ms) && all_exported {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(periods)
}

/// Reads the statements of all periods.
pub fn read_all(
    ledger: &InstalledLedger,
    periods: &[Value],
) -> Result<Statements, TestProgramError> {
    let mut statements = Statements {
        count: periods.len(),
        ..Statements::default()
    };
    for period in periods {
        let name = period["period"].as_str().unwrap_or_default();
        let statement = ledger.run_json(["statement", name])?;
        statements.add(&statement);
    }
    Ok(statements)
}

/// Returns the names of the documents that the ledger lists.
pub fn listed_documents(ledger: &InstalledLedger) -> Result<BTreeSet<String>, TestProgramError> {
    let exports = array(list_exports(ledger)?);
    let names = exports
        .iter()
        .filter_map(|export| Some(export["document"].as_str()?.to_string()));
    Ok(names.collect())
}

/// Returns the names of the documents in the export folder.
pub fn exported_documents(folder: &Path) -> io::Result<BTreeSet<String>> {
    let names = fs::read_dir(folder)?.filter_map(|file| {
        let file_name = file.ok()?.file_name();
        let name = file_name.to_str()?.strip_suffix(".json")?;
        Some(name.to_string())
    });
    Ok(names.collect())
}

impl Statements {
    fn add(&mut self, statement: &Value) {
        self.amount += statement["total"].as_i64().unwrap_or_default();
        for line in statement["lines"].as_array().into_iter().flatten() {
            self.add_line(line);
        }
        let members = array(statement["members"].clone());
        self.missing_members += members
            .iter()
            .filter(|member| member["missing"] == true)
            .count();
        self.lost_records = members
            .iter()
            .filter_map(|member| member["lost"].as_i64())
            .sum();
    }

    fn add_line(&mut self, line: &Value) {
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_string();
        let count = |key: &str| line[key].as_i64().unwrap_or_default();
        let key = RequestCountsKey {
            period: text("period"),
            tenant: text("tenant"),
            class: text("class"),
        };
        let counts = self.totals.entry(key).or_default();
        counts.requests += count("uses");
        counts.complete += count("whole");
        counts.partial += count("partial");
        self.adjustments += usize::from(line["adjusts"] == true);
    }
}

fn list_exports(ledger: &InstalledLedger) -> Result<Value, TestProgramError> {
    Ok(ledger.run_json(["export", "--list"])?)
}

fn is_exported(export: &Value) -> bool {
    export["posted"] == true && export["in_folder"] == true
}

fn array(value: Value) -> Vec<Value> {
    match value {
        Value::Array(values) => values,
        _ => Vec::new(),
    }
}
