//! `ledger export`: sends the documents in the outbox, and lists all documents.

use super::{progress, LedgerContext, LedgerError};
use crate::cli::output::{FormatArguments, Report};
use serde_json::json;
use std::time::{Duration, Instant};
use usage_ledger::document::OutgoingDocument;
use usage_ledger::export;
use usage_ledger::settings::ExportTarget;
use usage_ledger::settlement;
use usage_ledger::store::Store;

const COLUMNS: [&str; 5] = ["document", "in_folder", "posted", "attempts", "error"];

/// Maximum delay between two attempts, so that the time limit of `--within` is not exceeded by
/// much.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Arguments of `ledger export`.
#[derive(clap::Args)]
pub struct ExportArguments {
    /// List all documents without sending any
    #[arg(long)]
    list: bool,
    /// Time limit for retries
    #[arg(long, default_value = "60s", value_name = "TIME")]
    within: String,
    #[command(flatten)]
    format: FormatArguments,
}

/// Sends the pending documents, unless `--list` is given, and prints all documents.
pub fn run(context: &LedgerContext, arguments: &ExportArguments) -> Result<(), LedgerError> {
    let store = context.existing_store()?;
    if !arguments.list {
        let within = ini_config::parse_time(&arguments.within).map_err(|reason| {
            LedgerError::InvalidWithin {
                text: arguments.within.clone(),
                reason: reason.to_string(),
            }
        })?;
        send_outbox(&store, &context.settings.export, within)?;
    }
    Ok(document_report(&store)?.print(arguments.format.format)?)
}

fn send_outbox(store: &Store, target: &ExportTarget, within: Duration) -> Result<(), LedgerError> {
    if !target.has_destination() {
        return Err(LedgerError::NoExportTarget);
    }
    let deadline = Instant::now() + within;
    let pending_documents = store.undelivered_documents(target)?;
    let bar = progress::bar(pending_documents.len() as u64, "documents");
    for document in pending_documents {
        send_until_acknowledged(store, target, document, deadline)?;
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(())
}

/// Sends a document. Retries with exponential backoff until the document is acknowledged or the
/// deadline has passed.
fn send_until_acknowledged(
    store: &Store,
    target: &ExportTarget,
    mut document: OutgoingDocument,
    deadline: Instant,
) -> Result<(), LedgerError> {
    loop {
        let delivery = export::deliver(target, &document);
        store.record_delivery(&document.id, &delivery, settlement::unix_time_ms())?;
        document.is_in_folder |= delivery.is_in_folder;
        document.is_posted |= delivery.is_posted;
        document.attempts += 1;
        let Some(source) = delivery.error else {
            return Ok(());
        };
        if Instant::now() >= deadline {
            return Err(LedgerError::NotAcknowledged {
                document: document.id,
                source,
            });
        }
        let backoff = export::retry_backoff(target.retry_delay, document.attempts);
        std::thread::sleep(backoff.min(MAX_BACKOFF));
    }
}

fn document_report(store: &Store) -> Result<Report, LedgerError> {
    let mut report = Report::new(&COLUMNS);
    for document in store.documents()? {
        report.push(vec![
            json!(document.id),
            json!(document.is_in_folder),
            json!(document.is_posted),
            json!(document.attempts),
            json!(document.error),
        ]);
    }
    Ok(report)
}
