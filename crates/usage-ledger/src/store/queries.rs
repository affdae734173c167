//! Queries for members, periods and statements.
//!
//! Transaction boundary: none; each method reads one consistent snapshot.

use super::database::Store;
use super::error::Result;
use crate::log::LogPosition;
use crate::period::{Calendar, Period};
use crate::statement::Statement;
use rusqlite::{params, OptionalExtension, Row};
use std::collections::{BTreeMap, HashMap};

/// How far the log of a member has been collected.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The aggregator's name.
    pub member: String,
    /// The position of the last record of its last run.
    pub position: LogPosition,
    /// Its records are complete before this time, in Unix milliseconds.
    pub complete_until_ms: i64,
    /// Whether its last run ended with a closing mark.
    pub ended: bool,
    /// The number of records of all its runs.
    pub records: i64,
    /// The number of records that were never written.
    pub lost_records: i64,
    /// The number of earlier runs that ended without a closing mark.
    pub unclosed_runs: i64,
    /// The number of ranges of its log that can't be read.
    pub damaged_ranges: i64,
}

/// A statement as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredStatement {
    /// The statement.
    pub statement: Statement,
    /// SHA-256 of the JSON text in hexadecimal, computed when the period was closed.
    pub hash: String,
    /// The statement as JSON text.
    pub body: String,
}

/// A closed period. Includes periods before the last closed one that only late records have made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedPeriod {
    /// Start and end.
    pub period: Period,
    /// Whether late records have changed it, so that it is settled again when the next one closes.
    pub late_records_pending: bool,
}

impl Store {
    /// The names of members, tenants and classes by their ids.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn names_by_id(&self) -> Result<HashMap<u32, String>> {
        let mut select = self.db.prepare("SELECT id, text FROM name")?;
        let names = select.query_map([], |row| Ok((row.get(0)?, row.get(1)?)))?;
        Ok(names.collect::<rusqlite::Result<_>>()?)
    }

    /// The position up to which the store has the log of a member.
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

    /// How far the logs of members have been collected, sorted by name. Members from which nothing
    /// was ever collected are left out.
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
                ended: row.get(4)?,
                records: row.get(5)?,
                lost_records: row.get(6)?,
                unclosed_runs: row.get(7)?,
                damaged_ranges: row.get(8)?,
            })
        })?;
        Ok(statuses.collect::<rusqlite::Result<_>>()?)
    }

    /// The number of records of one run of a member, by `TENANT CLASS`, which are also the keys of
    /// the aggregator's own counters.
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

    /// The period to close next; `None` before the first record.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn next_period(&self, calendar: &Calendar) -> Result<Option<Period>> {
        let last_end = "SELECT max(end) FROM period WHERE start IN (SELECT period FROM statement)";
        let last_end: Option<i64> = self.db.query_row(last_end, [], |row| row.get(0))?;
        if let Some(start) = last_end {
            let end = calendar.period_at(start).end_ms;
            return Ok(Some(Period {
                start_ms: start,
                end_ms: end,
            }));
        }
        let first_arrival = "SELECT min(at) FROM record";
        let first_arrival: Option<i64> = self.db.query_row(first_arrival, [], |row| row.get(0))?;
        Ok(first_arrival.map(|at| calendar.period_at(at)))
    }

    /// All statements, oldest first.
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

    /// The closed periods, oldest first.
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
                late_records_pending: row.get(2)?,
            })
        })?;
        Ok(periods.collect::<rusqlite::Result<_>>()?)
    }
}
