//! `ledger status`: prints the state of the collection from each member, and the number of
//! documents to send.

use super::{LedgerContext, LedgerError};
use crate::cli::output::{self, OutputFormat, Report};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use usage_ledger::period::format_timestamp;
use usage_ledger::store::{MemberStatus, Store};

const COLUMNS: [&str; 9] = [
    "member",
    "configured",
    "incarnation",
    "sequence",
    "complete",
    "records",
    "lost",
    "died",
    "damaged",
];

/// Prints one row per member that is configured or has records. A summary follows in table format.
pub fn run(context: &LedgerContext, format: OutputFormat) -> Result<(), LedgerError> {
    let store = context.existing_store()?;
    member_report(context, &store)?.print(format)?;
    if format == OutputFormat::Table {
        output::print(summary(context, &store)?.as_bytes())?;
    }
    Ok(())
}

fn member_report(context: &LedgerContext, store: &Store) -> Result<Report, LedgerError> {
    let statuses = store.member_statuses()?;
    let configured_members = &context.settings.members;
    let recorded_members = statuses.iter().map(|status| &status.member);
    let names: BTreeSet<&String> = configured_members.keys().chain(recorded_members).collect();
    let mut report = Report::new(&COLUMNS);
    for name in names {
        let status = statuses.iter().find(|status| status.member == *name);
        report.push(row(name, configured_members.contains_key(name), status));
    }
    Ok(report)
}

fn row(name: &str, is_configured: bool, status: Option<&MemberStatus>) -> Vec<Value> {
    let mut row = vec![json!(name), json!(is_configured)];
    match status {
        Some(status) => row.extend([
            json!(status.position.incarnation),
            json!(status.position.sequence),
            json!(format_timestamp(status.complete_until_ms)),
            json!(status.records),
            json!(status.lost_records),
            json!(status.unclosed_runs),
            json!(status.damaged_ranges),
        ]),
        None => row.resize(COLUMNS.len(), Value::Null),
    }
    row
}

fn summary(context: &LedgerContext, store: &Store) -> Result<String, LedgerError> {
    let next_period = store.next_period(&context.settings.calendar)?;
    let next_period = next_period.map_or("none".into(), |period| period.name());
    let pending_documents = store.undelivered_documents(&context.settings.export)?.len();
    Ok(format!(
        "\nnext period to close: {next_period}\ndocuments to send: {pending_documents}\n"
    ))
}
