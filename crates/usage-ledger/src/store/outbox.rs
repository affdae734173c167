//! The outbox: documents to send, and the state of their delivery.
//!
//! Transaction boundary: a document is inserted in the transaction of the operation that creates
//! it. The result of a delivery is stored in a separate transaction, after the receiver has
//! responded.

use super::database::Store;
use super::error::Result;
use super::hash::sha256_hex;
use crate::document::{Document, OutgoingDocument};
use crate::export::Delivery;
use crate::settings::ExportTarget;
use rusqlite::{params, Connection, Row};

/// Columns of `outbox`, in the order in which [`read_document`] reads them.
const COLUMNS: &str = "id, body, folder IS NOT NULL, posted IS NOT NULL, attempts, error";

impl Store {
    /// Returns all documents, oldest first.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn documents(&self) -> Result<Vec<OutgoingDocument>> {
        let select = format!("SELECT {COLUMNS} FROM outbox ORDER BY made, id");
        let mut select = self.db.prepare(&select)?;
        let documents = select.query_map([], read_document)?;
        Ok(documents.collect::<rusqlite::Result<_>>()?)
    }

    /// Returns the documents that have not reached all destinations of `target`, oldest first.
    /// Returns no documents if `target` has no destination.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn undelivered_documents(&self, target: &ExportTarget) -> Result<Vec<OutgoingDocument>> {
        if !target.has_destination() {
            return Ok(Vec::new());
        }
        let select = format!(
            "SELECT {COLUMNS} FROM outbox WHERE (?1 AND folder IS NULL) OR (?2 AND posted IS NULL) ORDER BY made, id"
        );
        let mut select = self.db.prepare(&select)?;
        let destinations = [target.folder.is_some(), target.url.is_some()];
        let documents = select.query_map(destinations, read_document)?;
        Ok(documents.collect::<rusqlite::Result<_>>()?)
    }

    /// Stores the result of an attempt to send a document at `now_ms` (Unix milliseconds).
    ///
    /// # Errors
    /// The store can't be written.
    pub fn record_delivery(
        &self,
        document_id: &str,
        delivery: &Delivery,
        now_ms: i64,
    ) -> Result<()> {
        let folder_ms = delivery.is_in_folder.then_some(now_ms);
        let posted_ms = delivery.is_posted.then_some(now_ms);
        let error = delivery.error.as_ref().map(ToString::to_string);
        self.db.execute(
            "UPDATE outbox SET folder = coalesce(folder, ?), posted = coalesce(posted, ?), error = ?,
               attempts = attempts + 1 WHERE id = ?",
            params![
                folder_ms,
                posted_ms,
                error,
                document_id
            ],
        )?;
        Ok(())
    }
}

/// Inserts a document into the outbox.
pub(super) fn insert(db: &Connection, document: &Document, now_ms: i64) -> Result<()> {
    let body = serde_json::to_string(document)?;
    db.execute(
        "INSERT INTO outbox VALUES (?, ?, ?, ?, NULL, NULL, 0, NULL)",
        params![document.id, now_ms, body, sha256_hex(body.as_bytes())],
    )?;
    Ok(())
}

fn read_document(row: &Row<'_>) -> rusqlite::Result<OutgoingDocument> {
    Ok(OutgoingDocument {
        id: row.get(0)?,
        body: row.get(1)?,
        is_in_folder: row.get(2)?,
        is_posted: row.get(3)?,
        attempts: row.get(4)?,
        error: row.get(5)?,
    })
}
