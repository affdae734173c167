//! Export of documents, to a folder and to a receiver.
//!
//! A document is put into the outbox in the transaction that made it. It is sent until the receiver
//! has acknowledged it, always under the same id and as the same bytes, so that a receiver that
//! keeps one of each id ends up with each once, whatever became of its acknowledgements.

use crate::document::OutgoingDocument;
use crate::settings::ExportTarget;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// The most doublings of the pause between two attempts.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// The receiver's answer for a document that it has already.
const STATUS_CONFLICT: u16 = 409;

/// Why a document was not delivered.
#[derive(Debug, thiserror::Error)]
enum DeliveryError {
    /// It can't be written to the folder.
    #[error("{0}")]
    Folder(#[from] io::Error),
    /// The receiver did not accept it.
    #[error("the receiver answers {0}")]
    Rejected(ureq::http::StatusCode),
    /// The receiver did not answer; it may have the document all the same.
    #[error("{0}")]
    Transport(#[from] ureq::Error),
}

/// Puts a document into a folder: completely or not at all, and once.
///
/// # Errors
/// The folder can't be written.
fn to_folder(folder: &Path, document: &OutgoingDocument) -> Result<(), DeliveryError> {
    fs::create_dir_all(folder)?;
    let temporary = folder.join(format!(".{}.half", document.id));
    let complete = folder.join(format!("{}.json", document.id));
    let mut file = File::create(&temporary)?;
    file.write_all(document.body.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, &complete)?;
    File::open(folder)?.sync_all()?;
    Ok(())
}

/// Posts a document; done once the receiver answers with a 2xx, or with a 409 for one that it has
/// already.
///
/// # Errors
/// The receiver did not say so; it may have the document all the same.
fn post(url: &str, timeout: Duration, document: &OutgoingDocument) -> Result<(), DeliveryError> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false);
    let agent: ureq::Agent = config.build().into();
    let response = agent
        .post(url)
        .header("Idempotency-Key", &document.id)
        .header("Content-Type", "application/json")
        .send(document.body.as_bytes())?;
    let status = response.status();
    if status.is_success() || status == STATUS_CONFLICT {
        return Ok(());
    }
    Err(DeliveryError::Rejected(status))
}

/// Exponential backoff: the pause before a document that has failed `attempts` times is sent again.
pub fn wait(again: Duration, attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    again * 2u32.pow(doublings)
}

/// Sends one document to each target that it has not reached yet. Returns whether it is in the
/// folder by this attempt, whether it was posted by it, and the first error.
pub fn send(target: &ExportTarget, document: &OutgoingDocument) -> (bool, bool, Option<String>) {
    let folder = match &target.folder {
        Some(folder) if !document.in_folder => Some(to_folder(folder, document)),
        _ => None,
    };
    let posted = match &target.url {
        Some(url) if !document.posted => Some(post(url, target.timeout, document)),
        _ => None,
    };
    let succeeded = |sent: &Option<Result<(), DeliveryError>>| matches!(sent, Some(Ok(())));
    let (in_folder, is_posted) = (succeeded(&folder), succeeded(&posted));
    let attempts = [folder, posted].into_iter().flatten();
    let error = attempts.filter_map(Result::err).next();
    (in_folder, is_posted, error.map(|error| error.to_string()))
}
