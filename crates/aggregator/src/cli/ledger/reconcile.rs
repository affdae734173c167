//! `ledger reconcile`: compares the ledger with the records of clients and the counters of
//! aggregators.

use super::{LedgerContext, LedgerError};
use crate::cli::output::{self, FormatArguments, OutputFormat, Report};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use usage_ledger::reconcile::{self, ClientUsageRow, ReconciliationReport};
use usage_ledger::store::{MemberStatus, Store};

const TOTAL_COLUMNS: [&str; 8] = [
    "period",
    "tenant",
    "class",
    "ledger",
    "client",
    "ledger_answered",
    "client_answered",
    "equal",
];

const DIFFERENCE_COLUMNS: [&str; 7] = ["what", "tenant", "class", "at", "key", "ledger", "client"];

/// Field of `/-/stats` with the number of records by tenant and class.
const RECORDED_FIELD: &str = "recorded_of";

/// Arguments of `ledger reconcile`.
#[derive(clap::Args)]
pub struct ReconcileArguments {
    #[allow(
        clippy::doc_markdown,
        reason = "the text is printed by --help, which does not render Markdown"
    )]
    /// CSV file of requests, with the columns at_ms, tenant, class, outcome, tries, key
    #[arg(long, value_name = "FILE")]
    clients: Option<PathBuf>,
    /// File with the response of the /-/stats of the mixer NAME; may be repeated
    #[arg(long, value_name = "NAME=FILE")]
    counters: Vec<String>,
    #[command(flatten)]
    format: FormatArguments,
}

/// Compares the ledger with the given files and prints the result.
///
/// # Errors
///
/// Returns an error if there are differences, if nothing was given to compare with, or if a file or
/// the store cannot be read.
pub fn run(context: &LedgerContext, arguments: &ReconcileArguments) -> Result<(), LedgerError> {
    let store = context.existing_store()?;
    if arguments.clients.is_none() && arguments.counters.is_empty() {
        return Err(LedgerError::NothingToReconcile);
    }
    let mut differences = 0;
    if let Some(path) = &arguments.clients {
        let reconciliation = compare_with_clients(context, &store, path)?;
        print_client_comparison(&reconciliation, arguments.format.format)?;
        differences += reconciliation.unequal_totals() + reconciliation.differences.len();
    }
    let statuses = store.member_statuses()?;
    for argument in &arguments.counters {
        for difference in compare_with_counters(&store, &statuses, argument)? {
            output::print(difference.to_line().as_bytes())?;
            differences += 1;
        }
    }
    match differences {
        0 => Ok(()),
        count => Err(LedgerError::Differences(count)),
    }
}

fn compare_with_clients(
    context: &LedgerContext,
    store: &Store,
    path: &Path,
) -> Result<ReconciliationReport, LedgerError> {
    let rows = read_client_rows(path).map_err(|source| LedgerError::InvalidCsv {
        path: path.into(),
        source,
    })?;
    let all_times = i64::MIN..i64::MAX;
    let calendar = &context.settings.calendar;
    let reconciliation = reconcile::reconcile_with_clients(
        store,
        calendar,
        context.settings.join_bounds(),
        all_times,
        &rows,
    )?;
    Ok(reconciliation)
}

fn read_client_rows(path: &Path) -> Result<Vec<ClientUsageRow>, csv::Error> {
    csv::Reader::from_path(path)?.into_deserialize().collect()
}

fn print_client_comparison(
    reconciliation: &ReconciliationReport,
    format: OutputFormat,
) -> Result<(), LedgerError> {
    let mut totals = Report::new(&TOTAL_COLUMNS);
    for (key, pair) in &reconciliation.totals {
        totals.push(vec![
            json!(key.period),
            json!(key.tenant),
            json!(key.class),
            json!(pair.ledger_requests),
            json!(pair.client_requests),
            json!(pair.ledger_answered),
            json!(pair.client_answered),
            json!(pair.is_equal()),
        ]);
    }
    totals.print(format)?;
    if reconciliation.differences.is_empty() {
        return Ok(());
    }
    let mut differences = Report::new(&DIFFERENCE_COLUMNS);
    for difference in &reconciliation.differences {
        differences.push(vec![
            json!(difference.kind.to_string()),
            json!(difference.tenant),
            json!(difference.class),
            json!(difference.at),
            json!(difference.key),
            json!(difference.ledger_outcome),
            json!(difference.client_outcome),
        ]);
    }
    Ok(differences.print(format)?)
}

/// A counter of an aggregator that differs from the number of records in the ledger.
struct CounterDifference {
    member: String,
    counter: String,
    /// Number of records that the aggregator counted.
    counted: u64,
    /// Number of records in the ledger.
    in_ledger: u64,
}

impl CounterDifference {
    fn to_line(&self) -> String {
        format!(
            "mixer {}, {}: it has recorded {} in this run, the ledger holds {}\n",
            self.member, self.counter, self.counted, self.in_ledger
        )
    }
}

/// Compares the counters of one aggregator with its latest run in the ledger. `argument` has the
/// form `NAME=FILE`.
fn compare_with_counters(
    store: &Store,
    statuses: &[MemberStatus],
    argument: &str,
) -> Result<Vec<CounterDifference>, LedgerError> {
    let (member, file) = argument
        .split_once('=')
        .ok_or_else(|| LedgerError::InvalidCounters(argument.into()))?;
    let stats = read_json(Path::new(file))?;
    let status = statuses.iter().find(|status| status.member == member);
    let incarnation = status.map_or(0, |status| status.position.incarnation);
    let in_ledger = store.record_counts(member, incarnation)?;
    let counted: BTreeMap<String, u64> =
        serde_json::from_value(stats[RECORDED_FIELD].clone()).unwrap_or_default();
    let counters: BTreeSet<&String> = in_ledger.keys().chain(counted.keys()).collect();
    let differing = counters
        .into_iter()
        .filter(|counter| in_ledger.get(*counter) != counted.get(*counter));
    let value = |counts: &BTreeMap<String, u64>, counter: &String| {
        counts.get(counter).copied().unwrap_or_default()
    };
    Ok(differing
        .map(|counter| CounterDifference {
            member: member.into(),
            counter: counter.clone(),
            counted: value(&counted, counter),
            in_ledger: value(&in_ledger, counter),
        })
        .collect())
}

fn read_json(path: &Path) -> Result<Value, LedgerError> {
    let text = std::fs::read_to_string(path).map_err(|source| LedgerError::Unreadable {
        path: path.into(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| LedgerError::InvalidJson {
        path: path.into(),
        source,
    })
}
