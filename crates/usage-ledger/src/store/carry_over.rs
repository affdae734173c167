//! Settles periods from stored records, and stores what one period carries over to the next.
//!
//! Transaction boundary: none of its own; it runs in the caller's transaction.

use super::error::Result;
use super::records;
use crate::join::{JoinBounds, RecordId};
use crate::period::Period;
use crate::period_settler::{CarryOver, PeriodSettler, SettledPeriod};
use rusqlite::{params, Connection};
use std::collections::BTreeSet;

/// The tables of record ids by period. All have the same columns.
#[derive(Clone, Copy)]
enum IdTable {
    Carried,
    AmbiguousRetries,
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

/// Settles a period from its records, without storing anything.
pub(super) fn settle(db: &Connection, period: Period, bounds: JoinBounds) -> Result<SettledPeriod> {
    let mut settler = PeriodSettler::new(period, bounds, load_before(db, period.start_ms)?);
    records::for_each(db, bounds.arrivals(period), |record| settler.push(record))?;
    Ok(settler.finish())
}

/// Stores what a settled period carries over. Returns true if it has changed.
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

/// What the last period that starts before a time carries over.
fn load_before(db: &Connection, before_ms: i64) -> Result<CarryOver> {
    let last = "SELECT max(start) FROM period WHERE start < ?";
    let last: Option<i64> = db.query_row(last, [before_ms], |row| row.get(0))?;
    load(db, last.unwrap_or(i64::MIN))
}

fn load(db: &Connection, period_start_ms: i64) -> Result<CarryOver> {
    Ok(CarryOver {
        carried: load_ids(db, IdTable::Carried, period_start_ms)?,
        ambiguous_retries: load_ids(db, IdTable::AmbiguousRetries, period_start_ms)?,
    })
}

/// The ids in a table for the period that starts at this time.
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
