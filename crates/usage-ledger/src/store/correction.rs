//! Corrections that operators enter.
//!
//! Transaction boundary: one transaction per correction. It covers the correction and, if the
//! period is closed, the credit or debit in the outbox.

use super::database::Store;
use super::error::{Result, StoreError};
use super::outbox;
use crate::document::Document;
use crate::period::Period;
use crate::statement::CorrectionLine;
use rusqlite::{params, Connection, OptionalExtension, Row};

impl Store {
    /// Enters a correction at `now_ms` (Unix milliseconds). If the period is still open, the
    /// correction becomes part of its statement, and `None` is returned. If the period is closed, a
    /// credit or debit document is put into the outbox and returned.
    ///
    /// # Errors
    /// A correction with the same id already exists, or the store can't be written.
    pub fn enter_correction(
        &mut self,
        correction: &CorrectionLine,
        period: Period,
        now_ms: i64,
    ) -> Result<Option<Document>> {
        let transaction = self.begin()?;
        let select = "SELECT hash FROM statement WHERE period = ?";
        let statement_hash: Option<String> = transaction
            .query_row(select, [period.start_ms], |row| row.get(0))
            .optional()?;
        let CorrectionLine {
            id,
            tenant,
            amount,
            reason,
            author,
        } = correction;
        let inserted_rows = transaction.execute(
            "INSERT OR IGNORE INTO correction VALUES (?, ?, ?, ?, ?, ?, ?, NULL)",
            params![id, now_ms, tenant, period.start_ms, amount, reason, author],
        )?;
        if inserted_rows == 0 {
            return Err(StoreError::DuplicateCorrection { id: id.clone() });
        }
        let document =
            statement_hash.map(|hash| Document::of_correction(correction, period, &hash));
        if let Some(document) = &document {
            outbox::insert(&transaction, document, now_ms)?;
        }
        transaction.commit()?;
        Ok(document)
    }
}

/// Assigns all corrections of `period` that belong to no statement yet to the statement of
/// `period`, and returns them.
pub(super) fn assign_pending(db: &Connection, period: Period) -> Result<Vec<CorrectionLine>> {
    let mut select = db.prepare(
        "SELECT id, tenant, amount, reason, author FROM correction
         WHERE statement IS NULL AND period = ? ORDER BY made, id",
    )?;
    let corrections = select.query_map([period.start_ms], read_correction)?;
    let corrections = corrections.collect::<rusqlite::Result<_>>()?;
    db.execute(
        "UPDATE correction SET statement = ?1 WHERE statement IS NULL AND period = ?1",
        [period.start_ms],
    )?;
    Ok(corrections)
}

fn read_correction(row: &Row<'_>) -> rusqlite::Result<CorrectionLine> {
    Ok(CorrectionLine {
        id: row.get(0)?,
        tenant: row.get(1)?,
        amount: row.get(2)?,
        reason: row.get(3)?,
        author: row.get(4)?,
    })
}
