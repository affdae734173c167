//! Queries for members, periods and statements.
//!
//! Transaction boundary: none; each query reads one consistent snapshot.

use super::database::Store;
use super::error::Result;
use crate::log::LogPosition;
use crate::period::{Calendar, Period};
use crate::statement::Statement;
use rusqlite::{params, OptionalExtension, Row};
use std::collections::{BTreeMap, HashMap};

/// State of the collection from one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Name of the member in the settings (`[member NAME]`).
    pub member: String,
    /// Position of the last collected record or watermark in the latest run.
    pub position: LogPosition,
    /// Time before which all records of the latest run are in the store, in Unix milliseconds.
    pub complete_until_ms: i64,
    /// Whether the closing watermark of the latest run has been collected.
    pub has_ended: bool,
    /// Number of collected records, over all runs.
    pub records: i64,
    /// Number of missing records, over all runs: sequence numbers for which no record was
    /// collected.
    pub lost_records: i64,
    /// Number of earlier runs that ended without a closing watermark, for example in a crash.
    pub unclosed_runs: i64,
    /// Number of unreadable byte ranges in the log.
    pub damaged_ranges: i64,
}

/// A statement with its stored text and hash.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredStatement {
    /// Statement that was parsed from `body`.
    pub statement: Statement,
    /// SHA-256 of the JSON text in hexadecimal, computed when the period was closed.
    pub hash: String,
    /// Statement as JSON text.
    pub body: String,
}

/// A closed period, or a period before the last closed one that has no statement because all of its
/// records were late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedPeriod {
    /// Time range of the period.
    pub period: Period,
    /// Whether the period is dirty: late records may have changed its counts, so it will be settled
    /// again when the next period closes.
    pub has_pending_late_records: bool,
}

impl Store {
    /// Returns the names of members, tenants and classes by id.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn names_by_id(&self) -> Result<HashMap<u32, String>> {
        let mut select = self.db.prepare("SELECT id, text FROM name")?;
        let names = select.query_map([], |row| Ok((row.get(0)?, row.get(1)?)))?;
        Ok(names.collect::<rusqlite::Result<_>>()?)
    }

    /// Returns the position up to which the log of a member is stored; the default position if
    /// nothing was ever collected from the member.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn position(&self, member: &str) -> Result<LogPosition> {
        let select = "SELECT incarnation, sequence FROM position JOIN name ON name.id = member
            WHERE kind = 'member' AND text = ? ORDER BY incarnation DESC LIMIT 1";
        let read = |row: &Row<'_>| {
            Ok(LogPosition {
                incarnation: row.get(0)?,
                sequence: row.get(1)?,
            })
        };
        let position = self.db.query_row(select, [member], read).optional()?;
        Ok(position.unwrap_or_default())
    }

    /// Returns the state of the collection from each member, sorted by name. Members from which
    /// nothing was ever collected are left out.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn member_statuses(&self) -> Result<Vec<MemberStatus>> {
        let mut select = self.db.prepare(
            "SELECT text, p.incarnation, p.sequence, p.complete, p.ended,
               (SELECT sum(sequence - lost) FROM position o WHERE o.member = p.member),
               (SELECT sum(lost) FROM position o WHERE o.member = p.member),
               (SELECT count(*) FROM position o
                  WHERE o.member = p.member AND NOT o.ended AND o.incarnation < p.incarnation),
               (SELECT count(*) FROM damage d WHERE d.member = p.member)
             FROM position p JOIN name ON name.id = p.member
             WHERE p.incarnation = (SELECT max(incarnation) FROM position o WHERE o.member = p.member) ORDER BY text",
        )?;
        let statuses = select.query_map([], |row| {
            Ok(MemberStatus {
                member: row.get(0)?,
                position: LogPosition {
                    incarnation: row.get(1)?,
                    sequence: row.get(2)?,
                },
                complete_until_ms: row.get(3)?,
                has_ended: row.get(4)?,
                records: row.get(5)?,
                lost_records: row.get(6)?,
                unclosed_runs: row.get(7)?,
                damaged_ranges: row.get(8)?,
            })
        })?;
        Ok(statuses.collect::<rusqlite::Result<_>>()?)
    }

    /// Returns the number of records of one run of a member, by tenant and class. The keys have the
    /// form `TENANT CLASS`, like the keys in the counters of the aggregator.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn record_counts(&self, member: &str, incarnation: u64) -> Result<BTreeMap<String, u64>> {
        let mut select = self.db.prepare(
            "SELECT t.text || ' ' || c.text, count(*) FROM record r JOIN name t ON t.id = r.tenant
             JOIN name c ON c.id = r.class JOIN name m ON m.id = r.member
             WHERE m.kind = 'member' AND m.text = ? AND r.incarnation = ? GROUP BY 1",
        )?;
        let counts = select.query_map(params![member, incarnation as i64], |row| {
            Ok((row.get(0)?, row.get(1)?))
        })?;
        Ok(counts.collect::<rusqlite::Result<_>>()?)
    }

    /// Returns the period to close next: the one after the last closed period or, if no period was
    /// closed, the period of the first record. Returns `None` if there is neither.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn next_period(&self, calendar: &Calendar) -> Result<Option<Period>> {
        let select = "SELECT max(end) FROM period WHERE start IN (SELECT period FROM statement)";
        let last_end_ms: Option<i64> = self.db.query_row(select, [], |row| row.get(0))?;
        if let Some(start_ms) = last_end_ms {
            let end_ms = calendar.period_at(start_ms).end_ms;
            return Ok(Some(Period { start_ms, end_ms }));
        }
        let select = "SELECT min(at) FROM record";
        let first_arrival_ms: Option<i64> = self.db.query_row(select, [], |row| row.get(0))?;
        Ok(first_arrival_ms.map(|arrived_at_ms| calendar.period_at(arrived_at_ms)))
    }

    /// Returns all statements, oldest first.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn statements(&self) -> Result<Vec<StoredStatement>> {
        let select = "SELECT body, hash FROM statement ORDER BY period";
        let mut select = self.db.prepare(select)?;
        let rows = select.query_map([], |row| {
            Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?))
        })?;
        rows.map(|row| {
            let (body, hash) = row?;
            Ok(StoredStatement {
                statement: serde_json::from_str(&body)?,
                hash,
                body,
            })
        })
        .collect()
    }

    /// Returns the closed periods, and those without a statement before them, oldest first.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn periods(&self) -> Result<Vec<ClosedPeriod>> {
        let select = "SELECT start, end, dirty FROM period ORDER BY start";
        let mut select = self.db.prepare(select)?;
        let periods = select.query_map([], |row| {
            let period = Period {
                start_ms: row.get(0)?,
                end_ms: row.get(1)?,
            };
            Ok(ClosedPeriod {
                period,
                has_pending_late_records: row.get(2)?,
            })
        })?;
        Ok(periods.collect::<rusqlite::Result<_>>()?)
    }
}
