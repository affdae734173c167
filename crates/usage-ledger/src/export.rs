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
pub enum DeliveryError {
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

/// What one attempt to send a document came to.
#[derive(Debug, Default)]
pub struct Delivery {
    /// The attempt has put it into the folder.
    pub in_folder: bool,
    /// The receiver has acknowledged it to this attempt.
    pub posted: bool,
    /// The first failure; `None` if the document is now wherever it should be.
    pub error: Option<DeliveryError>,
}

impl Delivery {
    /// Takes the result for one target. True if the document is there now.
    fn record_result(&mut self, result: Result<(), DeliveryError>) -> bool {
        match result {
            Ok(()) => true,
            Err(error) => {
                self.error.get_or_insert(error);
                false
            }
        }
    }
}

/// Puts a document into a folder: completely or not at all, and once.
///
/// # Errors
/// The folder can't be written.
fn write_to_folder(folder: &Path, document: &OutgoingDocument) -> Result<(), DeliveryError> {
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
pub fn retry_backoff(retry_delay: Duration, attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    retry_delay * 2u32.pow(doublings)
}

/// Sends one document to each target that it has not reached yet.
pub fn deliver(target: &ExportTarget, document: &OutgoingDocument) -> Delivery {
    let mut delivery = Delivery::default();
    if let Some(folder) = target.folder.as_ref().filter(|_| !document.in_folder) {
        delivery.in_folder = delivery.record_result(write_to_folder(folder, document));
    }
    if let Some(url) = target.url.as_ref().filter(|_| !document.posted) {
        delivery.posted = delivery.record_result(post(url, target.timeout, document));
    }
    delivery
}
