//! Documents to send, and what became of them.
//!
//! Transaction boundary: a document is inserted in the transaction that made it; noting a delivery
//! is a transaction of its own, after the receiver has answered.

use super::{digest, Result, Store};
use crate::document::{Document, OutgoingDocument};
use crate::export::Delivery;
use rusqlite::{params, Connection};

impl Store {
    /// Documents, oldest first: those still to be put into the folder if `folder`, those still to
    /// be posted if `url`, all if neither.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn outbox(&self, folder: bool, url: bool) -> Result<Vec<OutgoingDocument>> {
        let mut select = self.db.prepare(
            "SELECT id, body, folder IS NOT NULL, posted IS NOT NULL, attempts, error FROM outbox
             WHERE (?1 AND folder IS NULL) OR (?2 AND posted IS NULL) OR NOT (?1 OR ?2) ORDER BY made, id",
        )?;
        let documents = select.query_map([folder, url], |row| {
            Ok(OutgoingDocument {
                id: row.get(0)?,
                body: row.get(1)?,
                in_folder: row.get(2)?,
                posted: row.get(3)?,
                attempts: row.get(4)?,
                error: row.get(5)?,
            })
        })?;
        Ok(documents.collect::<rusqlite::Result<_>>()?)
    }

    /// Stores what an attempt at `now_ms`, in Unix milliseconds, to send a document came to.
    ///
    /// # Errors
    /// The store can't be written.
    pub fn record_delivery(
        &self,
        document_id: &str,
        delivery: &Delivery,
        now_ms: i64,
    ) -> Result<()> {
        let time_if = |done: bool| done.then_some(now_ms);
        let error = delivery.error.as_ref().map(ToString::to_string);
        self.db.execute(
            "UPDATE outbox SET folder = coalesce(folder, ?), posted = coalesce(posted, ?), error = ?,
               attempts = attempts + 1 WHERE id = ?",
            params![
                time_if(delivery.in_folder),
                time_if(delivery.posted),
                error,
                document_id
            ],
        )?;
        Ok(())
    }
}

/// Puts a document into the outbox.
pub(super) fn insert(db: &Connection, document: &Document, now: i64) -> Result<()> {
    let body = serde_json::to_string(document)?;
    db.execute(
        "INSERT INTO outbox VALUES (?, ?, ?, ?, NULL, NULL, 0, NULL)",
        params![document.id, now, body, digest(body.as_bytes())],
    )?;
    Ok(())
}
