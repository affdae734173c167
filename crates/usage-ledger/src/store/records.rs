//! Reads usage records: maps rows of the table `record` to [`UsageRecord`]s.
//!
//! Transaction boundary: none. If the caller has begun a transaction, all functions run in it;
//! otherwise each query reads one consistent snapshot.

use super::database::Store;
use super::error::Result;
use super::uncertainty::{self, RunKey};
use crate::join::{RecordedOutcome, UsageRecord};
use crate::wire::{Outcome as WireOutcome, Record};
use rusqlite::{params, Connection, Row};
use std::ops::Range;

/// Bit of the column `flags` that is set if the client marked the request as a retry.
const FLAG_RETRY: i64 = 1;
/// Bit of the column `flags` that is set if the key is derived from an idempotency key.
const FLAG_IDEMPOTENCY_KEY: i64 = 1 << 1;

impl Store {
    /// Returns the records that arrived in `from_ms..until_ms` (Unix milliseconds), in the order of
    /// their ids.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn records(&self, from_ms: i64, until_ms: i64) -> Result<Vec<UsageRecord>> {
        let mut records = Vec::new();
        for_each(&self.db, from_ms..until_ms, |record| records.push(record))?;
        Ok(records)
    }
}

/// Returns the value of the column `flags` for a record.
pub(super) fn flags(record: &Record) -> i64 {
    let mut flags = 0;
    if record.repeat {
        flags |= FLAG_RETRY;
    }
    if record.keyed {
        flags |= FLAG_IDEMPOTENCY_KEY;
    }
    flags
}

/// Calls `on_record` with each record that arrived in the range `arrivals` (Unix milliseconds), in
/// the order of their ids. Only one record is in memory at a time.
pub(super) fn for_each(
    db: &Connection,
    arrivals: Range<i64>,
    mut on_record: impl FnMut(UsageRecord),
) -> Result<()> {
    let uncertain_tails = uncertainty::uncertain_tails(db, None)?;
    let mut select = db.prepare_cached(
        "SELECT at, member, incarnation, sequence, tenant, class, outcome, share, parts, attempts, crossed, flags,
           key, give_up FROM record WHERE at >= ? AND at < ? ORDER BY at, member, incarnation, sequence",
    )?;
    let mut rows = select.query(params![arrivals.start, arrivals.end])?;
    while let Some(row) = rows.next()? {
        let mut record = read_record(row)?;
        let run = RunKey {
            member_id: record.member_id,
            incarnation: record.incarnation,
        };
        let tail = uncertain_tails.get(&run);
        record.is_reply_uncertain = tail.is_some_and(|tail| record.sequence > tail.after_sequence);
        on_record(record);
    }
    Ok(())
}

fn read_record(row: &Row<'_>) -> rusqlite::Result<UsageRecord> {
    let flags: i64 = row.get(11)?;
    // SQLite's integers are signed: the key is stored as an `i64` with the same bits.
    let key: i64 = row.get(12)?;
    Ok(UsageRecord {
        arrived_at_ms: row.get(0)?,
        member_id: row.get(1)?,
        incarnation: row.get(2)?,
        sequence: row.get(3)?,
        tenant_id: row.get(4)?,
        class_id: row.get(5)?,
        outcome: outcome_from_number(row.get(6)?, row.get(7)?),
        parts: row.get(8)?,
        attempts: row.get(9)?,
        cross_zone_attempts: row.get(10)?,
        is_retry: flags & FLAG_RETRY != 0,
        key: key as u64,
        has_idempotency_key: flags & FLAG_IDEMPOTENCY_KEY != 0,
        client_timeout_ms: row.get(13)?,
        is_reply_uncertain: false,
    })
}

/// Returns the outcome for its stored number. An unknown number, which only a newer release can
/// have written, counts as failed.
fn outcome_from_number(number: i32, share_millionths: u32) -> RecordedOutcome {
    match WireOutcome::try_from(number) {
        Ok(WireOutcome::Whole) => RecordedOutcome::Complete,
        Ok(WireOutcome::Partial) => RecordedOutcome::Partial(share_millionths),
        Ok(WireOutcome::Refused) => RecordedOutcome::Rejected,
        Ok(WireOutcome::Left) => RecordedOutcome::Cancelled,
        Ok(WireOutcome::Failed) | Err(_) => RecordedOutcome::Failed,
    }
}
