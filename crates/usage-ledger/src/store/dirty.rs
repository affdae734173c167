//! Dirty periods: closed periods whose counts may have changed because of late records. They are
//! settled again when the next period closes.
//!
//! Transaction boundary: none; all functions run in the transaction of the caller.

use super::error::Result;
use crate::join::JoinBounds;
use crate::period::{Calendar, Period};
use crate::settings::Price;
use rusqlite::{Connection, OptionalExtension, Row};
use std::collections::BTreeMap;

/// A closed period that must be settled again.
pub(super) struct DirtyPeriod {
    pub(super) period: Period,
    /// Prices in force when the period was closed, by class name.
    pub(super) prices: BTreeMap<String, Price>,
}

/// Marks as dirty the closed periods whose settlement reads a late record that arrived at
/// `arrived_at_ms`.
///
/// If the record arrived before the end of the last closed period, `closed_until_ms`, but no period
/// contains `arrived_at_ms`, inserts a dirty period. Times are in Unix milliseconds.
pub(super) fn mark_late_arrival(
    db: &Connection,
    arrived_at_ms: i64,
    closed_until_ms: i64,
    calendar: &Calendar,
    bounds: JoinBounds,
) -> Result<()> {
    let mark = "UPDATE period SET dirty = 1 WHERE start - ?2 <= ?1 AND end + ?3 > ?1";
    db.prepare_cached(mark)?
        .execute([arrived_at_ms, bounds.skew_ms, bounds.lookahead_ms()])?;
    let count = "SELECT count(*) FROM period WHERE start <= ? AND end > ?";
    let containing_periods: i64 = db
        .prepare_cached(count)?
        .query_row([arrived_at_ms, arrived_at_ms], |row| row.get(0))?;
    if arrived_at_ms < closed_until_ms && containing_periods == 0 {
        insert_missing_period(db, arrived_at_ms, calendar)?;
    }
    Ok(())
}

fn insert_missing_period(db: &Connection, arrived_at_ms: i64, calendar: &Calendar) -> Result<()> {
    let period = calendar.period_at(arrived_at_ms);
    // The calendar may have changed since the other periods were closed: the new period must not
    // overlap them.
    let select = "SELECT min(start) FROM period WHERE start > ?";
    let next_start_ms: Option<i64> = db.query_row(select, [arrived_at_ms], |row| row.get(0))?;
    let select = "SELECT max(end) FROM period WHERE end <= ?";
    let previous_end_ms: Option<i64> = db.query_row(select, [arrived_at_ms], |row| row.get(0))?;
    let start_ms = period.start_ms.max(previous_end_ms.unwrap_or(i64::MIN));
    let end_ms = period.end_ms.min(next_start_ms.unwrap_or(i64::MAX));
    let insert = "INSERT INTO period VALUES (?, ?, '{}', 1)";
    db.execute(insert, [start_ms, end_ms])?;
    Ok(())
}

/// Returns the earliest dirty period that starts before `before_ms`. Returns only one period,
/// because settling it may make the following period dirty.
pub(super) fn first_before(db: &Connection, before_ms: i64) -> Result<Option<DirtyPeriod>> {
    let select =
        "SELECT start, end, prices FROM period WHERE dirty AND start < ? ORDER BY start LIMIT 1";
    let read = |row: &Row<'_>| {
        let period = Period {
            start_ms: row.get(0)?,
            end_ms: row.get(1)?,
        };
        Ok((period, row.get::<_, String>(2)?))
    };
    let Some((period, prices)) = db.query_row(select, [before_ms], read).optional()? else {
        return Ok(None);
    };
    let prices = serde_json::from_str(&prices)?;
    Ok(Some(DirtyPeriod { period, prices }))
}

/// Marks a period as no longer dirty.
pub(super) fn clear(db: &Connection, period: Period) -> Result<()> {
    let clear = "UPDATE period SET dirty = 0 WHERE start = ?";
    db.execute(clear, [period.start_ms])?;
    Ok(())
}

/// Marks the period that follows `period` as dirty if it starts before `before_ms`. Called when the
/// carry-over of `period` has changed.
pub(super) fn mark_following(db: &Connection, period: Period, before_ms: i64) -> Result<()> {
    db.execute(
        "UPDATE period SET dirty = 1 WHERE start = (SELECT min(start) FROM period WHERE start > ?)
           AND start < ?",
        [period.start_ms, before_ms],
    )?;
    Ok(())
}
