//! Settles periods from stored records, and stores the carry-over of each period: the record ids
//! that the settlement of the next period depends on.
//!
//! Transaction boundary: none; all functions run in the transaction of the caller.

use super::error::Result;
use super::records;
use crate::join::{JoinBounds, RecordId};
use crate::period::Period;
use crate::period_settler::{CarryOver, PeriodSettler, SettledPeriod};
use rusqlite::{params, Connection};
use std::collections::BTreeSet;

/// Tables of record ids by period. All of them have the same columns.
#[derive(Clone, Copy)]
enum IdTable {
    /// [`CarryOver::carried`].
    Carried,
    /// [`CarryOver::ambiguous_retries`].
    AmbiguousRetries,
    /// [`SettledPeriod::ambiguous`].
    Ambiguous,
}

impl IdTable {
    fn name(self) -> &'static str {
        match self {
            IdTable::Carried => "carried",
            IdTable::AmbiguousRetries => "hint",
            IdTable::Ambiguous => "ambiguous",
        }
    }
}

/// Settles a period from its records. Stores nothing.
pub(super) fn settle(db: &Connection, period: Period, bounds: JoinBounds) -> Result<SettledPeriod> {
    let mut settler = PeriodSettler::new(period, bounds, load_before(db, period.start_ms)?);
    records::for_each(db, bounds.arrivals(period), |record| settler.push(record))?;
    Ok(settler.finish())
}

/// Stores the carry-over of a settled period. Returns whether it differs from the stored one.
pub(super) fn save(db: &Connection, period: Period, settled: &SettledPeriod) -> Result<bool> {
    let start = period.start_ms;
    let carry_over = &settled.carry_over;
    let changed = load(db, start)? != *carry_over;
    save_ids(db, IdTable::Carried, start, &carry_over.carried)?;
    let retries = &carry_over.ambiguous_retries;
    save_ids(db, IdTable::AmbiguousRetries, start, retries)?;
    save_ids(db, IdTable::Ambiguous, start, &settled.ambiguous)?;
    Ok(changed)
}

/// Returns the carry-over of the last period that starts before `before_ms`; empty if there is no
/// such period.
fn load_before(db: &Connection, before_ms: i64) -> Result<CarryOver> {
    let select = "SELECT max(start) FROM period WHERE start < ?";
    let last_start_ms: Option<i64> = db.query_row(select, [before_ms], |row| row.get(0))?;
    load(db, last_start_ms.unwrap_or(i64::MIN))
}

fn load(db: &Connection, period_start_ms: i64) -> Result<CarryOver> {
    Ok(CarryOver {
        carried: load_ids(db, IdTable::Carried, period_start_ms)?,
        ambiguous_retries: load_ids(db, IdTable::AmbiguousRetries, period_start_ms)?,
    })
}

/// Returns the ids in `table` for the period that starts at `period_start_ms`.
fn load_ids(db: &Connection, table: IdTable, period_start_ms: i64) -> Result<BTreeSet<RecordId>> {
    let table = table.name();
    let select = format!("SELECT at, member, incarnation, sequence FROM {table} WHERE period = ?");
    let mut select = db.prepare(&select)?;
    let ids = select.query_map([period_start_ms], |row| {
        Ok(RecordId {
            arrived_at_ms: row.get(0)?,
            member_id: row.get(1)?,
            incarnation: row.get(2)?,
            sequence: row.get(3)?,
        })
    })?;
    Ok(ids.collect::<rusqlite::Result<_>>()?)
}

fn save_ids<'a>(
    db: &Connection,
    table: IdTable,
    period_start_ms: i64,
    ids: impl IntoIterator<Item = &'a RecordId>,
) -> Result<()> {
    let table = table.name();
    db.execute(
        &format!("DELETE FROM {table} WHERE period = ?"),
        [period_start_ms],
    )?;
    let mut insert = db.prepare(&format!("INSERT INTO {table} VALUES (?, ?, ?, ?, ?)"))?;
    for id in ids {
        insert.execute(params![
            period_start_ms,
            id.arrived_at_ms,
            id.member_id,
            id.incarnation as i64,
            id.sequence as i64
        ])?;
    }
    Ok(())
}
