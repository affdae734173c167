//! Delivery of documents to a folder and to an HTTP receiver.
//!
//! A document is inserted into the outbox in the transaction that creates it. It is sent with the
//! same id and the same bytes until the receiver has acknowledged it. A receiver that stores one
//! document per id therefore stores each document exactly once, even if acknowledgements are lost.

use crate::document::OutgoingDocument;
use crate::settings::ExportTarget;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// Maximum number of times that the retry delay is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// HTTP status with which a receiver responds to a document that it already has.
const STATUS_CONFLICT: u16 = 409;

/// An error that prevents the delivery of a document.
#[derive(Debug, thiserror::Error)]
pub enum DeliveryError {
    /// The folder can't be written.
    #[error("{0}")]
    Folder(#[from] io::Error),
    /// The receiver responded with this status and did not accept the document.
    #[error("the receiver answers {0}")]
    Rejected(ureq::http::StatusCode),
    /// The receiver did not respond. The document may have reached it nevertheless.
    #[error("{0}")]
    Transport(#[from] ureq::Error),
}

/// Result of one attempt to deliver a document.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Whether this attempt has written the document to the folder.
    pub is_in_folder: bool,
    /// Whether the receiver has acknowledged the document in this attempt.
    pub is_posted: bool,
    /// First error of this attempt; `None` if no destination failed.
    pub error: Option<DeliveryError>,
}

impl Delivery {
    /// Stores the error of `result` if it is the first one of this attempt. Returns whether
    /// `result` is `Ok`.
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

/// Sends a document to each destination that it has not reached yet.
pub fn deliver(target: &ExportTarget, document: &OutgoingDocument) -> Delivery {
    let mut delivery = Delivery::default();
    if let Some(folder) = target.folder.as_ref().filter(|_| !document.is_in_folder) {
        delivery.is_in_folder = delivery.record_result(write_to_folder(folder, document));
    }
    if let Some(url) = target.url.as_ref().filter(|_| !document.is_posted) {
        delivery.is_posted = delivery.record_result(post(url, target.timeout, document));
    }
    delivery
}

/// Returns the delay before the next attempt, after `attempts` failed attempts. The delay is
/// `retry_delay` after the first one, and doubles with each further one up to a limit.
pub fn retry_backoff(retry_delay: Duration, attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    retry_delay * 2u32.pow(doublings)
}

/// Writes a document to a temporary file and renames it, so that readers never see a partial
/// document.
///
/// # Errors
/// The folder can't be written.
fn write_to_folder(folder: &Path, document: &OutgoingDocument) -> Result<(), DeliveryError> {
    fs::create_dir_all(folder)?;
    let temporary_path = folder.join(format!(".{}.half", document.id));
    let final_path = folder.join(format!("{}.json", document.id));
    let mut file = File::create(&temporary_path)?;
    file.write_all(document.body.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary_path, &final_path)?;
    File::open(folder)?.sync_all()?;
    Ok(())
}

/// Posts a document. The document is delivered if the receiver responds with a 2xx status, or with
/// 409, which means that the receiver already has the document.
///
/// # Errors
/// The receiver rejected the document, or did not respond. In the latter case the document may have
/// been delivered nevertheless.
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
