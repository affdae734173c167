//! `ledger dump`: prints the records in the store, or those of one aggregator's usage log.

use super::{LedgerContext, LedgerError};
use crate::cli::output::{FormatArguments, OutputFormat, Report};
use crate::files::Files;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use usage_ledger::join::UsageRecord;
use usage_ledger::log::{LogFollower, LogPosition};
use usage_ledger::period::format_timestamp;
use usage_ledger::wire::{entry::What, Damage, Header, Record};

/// Published names of the columns.
const COLUMNS: [&str; 14] = [
    "arrived",
    "mixer",
    "incarnation",
    "sequence",
    "tenant",
    "class",
    "outcome",
    "share",
    "parts",
    "attempts",
    "crossed",
    "repeat",
    "keyed",
    "key",
];

/// Maximum number of entries in one read of a log.
const BATCH_ENTRIES: usize = 4096;

/// Arguments of `ledger dump`.
#[derive(clap::Args)]
pub struct DumpArguments {
    /// Folder of a mixer's usage log; if not given, the records in the store are printed
    #[arg(long, value_name = "FOLDER")]
    log: Option<PathBuf>,
    #[command(flatten)]
    format: FormatArguments,
}

/// Prints all records of the log or, without `--log`, of the store, in the order of the source.
pub fn run(files: &Files, arguments: &DumpArguments) -> Result<(), LedgerError> {
    let format = arguments.format.format;
    match &arguments.log {
        Some(directory) => dump_log(directory, format),
        None => dump_store(&LedgerContext::open(files)?, format),
    }
}

/// A record of a log or of the store. Names that the source does not contain are `None`.
struct RecordRow<'a> {
    arrived_at_ms: i64,
    aggregator: Option<&'a str>,
    incarnation: u64,
    sequence: u64,
    tenant: Option<&'a str>,
    class: Option<&'a str>,
    outcome: String,
    /// Share of a partial answer, in millionths; 0 for other outcomes.
    share_millionths: u32,
    parts: u32,
    attempts: u32,
    cross_zone_attempts: u32,
    is_retry: bool,
    has_idempotency_key: bool,
    key: u64,
}

impl RecordRow<'_> {
    /// Returns the values in the order of [`COLUMNS`].
    fn values(&self) -> Vec<Value> {
        vec![
            json!(format_timestamp(self.arrived_at_ms)),
            json!(self.aggregator),
            json!(self.incarnation),
            json!(self.sequence),
            json!(self.tenant),
            json!(self.class),
            json!(self.outcome),
            json!(self.share_millionths),
            json!(self.parts),
            json!(self.attempts),
            json!(self.cross_zone_attempts),
            json!(self.is_retry),
            json!(self.has_idempotency_key),
            json!(format!("{:016x}", self.key)),
        ]
    }
}

fn dump_store(context: &LedgerContext, format: OutputFormat) -> Result<(), LedgerError> {
    let store = context.existing_store()?;
    let names = store.names_by_id()?;
    let mut report = Report::new(&COLUMNS);
    for record in store.records(i64::MIN, i64::MAX)? {
        report.push(stored_row(&names, &record).values());
    }
    Ok(report.print(format)?)
}

fn stored_row<'a>(names: &'a HashMap<u32, String>, record: &UsageRecord) -> RecordRow<'a> {
    let name = |id: u32| names.get(&id).map(String::as_str);
    RecordRow {
        arrived_at_ms: record.arrived_at_ms,
        aggregator: name(record.member_id),
        incarnation: record.incarnation,
        sequence: record.sequence,
        tenant: name(record.tenant_id),
        class: name(record.class_id),
        outcome: record.outcome.published_name().into(),
        share_millionths: record.outcome.share_millionths(),
        parts: record.parts,
        attempts: record.attempts,
        cross_zone_attempts: record.cross_zone_attempts,
        is_retry: record.is_retry,
        has_idempotency_key: record.has_idempotency_key,
        key: record.key,
    }
}

fn dump_log(directory: &Path, format: OutputFormat) -> Result<(), LedgerError> {
    let unreadable = |source| LedgerError::Unreadable {
        path: directory.into(),
        source,
    };
    let mut follower = LogFollower::new(directory, LogPosition::default());
    let mut report = Report::new(&COLUMNS);
    while let Some(batch) = follower.next_batch(BATCH_ENTRIES).map_err(unreadable)? {
        batch.damage.iter().for_each(warn_of_damage);
        let header = batch.header.unwrap_or_default();
        for entry in batch.entries {
            if let Some(What::Record(record)) = entry.what {
                report.push(logged_row(&header, &record).values());
            }
        }
    }
    Ok(report.print(format)?)
}

fn warn_of_damage(damage: &Damage) {
    let (segment, from, to) = (&damage.segment, damage.from, damage.to);
    eprintln!("query-aggregator: segment {segment}: unreadable bytes from offset {from} to {to}");
}

fn logged_row<'a>(header: &'a Header, record: &Record) -> RecordRow<'a> {
    let tenant = header.tenants.get(record.tenant as usize);
    let class = header.classes.get(record.class as usize);
    RecordRow {
        arrived_at_ms: record.arrived_ms as i64,
        aggregator: Some(&header.mixer),
        incarnation: header.incarnation,
        sequence: record.sequence,
        tenant: tenant.map(String::as_str),
        class: class.map(|class| class.name.as_str()),
        outcome: record.outcome().as_str_name().to_lowercase(),
        share_millionths: record.share,
        parts: record.parts,
        attempts: record.attempts,
        cross_zone_attempts: record.crossed,
        is_retry: record.repeat,
        has_idempotency_key: record.keyed,
        key: record.key,
    }
}
