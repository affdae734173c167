//! The lines of statements, stored in the table `line`.
//!
//! Transaction boundary: none; all functions run in the transaction of the caller.

use super::error::Result;
use crate::line_counts::{LineCounts, LineKey};
use crate::period::Period;
use crate::rate::UsageCounts;
use crate::statement::StatementLine;
use rusqlite::{params_from_iter, Connection, Row};
use std::collections::{BTreeMap, HashMap};

/// A line of a statement, with ids in place of names.
pub(super) struct LineRow {
    /// Period of the counted logical requests.
    pub(super) period: Period,
    /// Whether the line adjusts a period that was closed before.
    pub(super) is_adjustment: bool,
    pub(super) key: LineKey,
    pub(super) counts: UsageCounts,
    /// Amount to be billed, in micro-units.
    pub(super) amount: i64,
    /// Whether the class has no price.
    pub(super) is_unpriced: bool,
}

impl LineRow {
    /// Returns the line with the names for its ids.
    pub(super) fn with_names(&self, names: &HashMap<u32, String>) -> StatementLine {
        let name = |id: u32| names.get(&id).cloned().unwrap_or_default();
        StatementLine {
            tenant: name(self.key.tenant_id),
            class: name(self.key.class_id),
            period: self.period.name(),
            is_adjustment: self.is_adjustment,
            counts: self.counts,
            amount: self.amount,
            is_unpriced: self.is_unpriced,
        }
    }

    /// Stores the line as part of the statement of the period `statement`.
    pub(super) fn insert(&self, db: &Connection, statement: Period) -> Result<()> {
        let mut values = vec![
            statement.start_ms,
            self.period.start_ms,
            i64::from(self.key.tenant_id),
            i64::from(self.key.class_id),
        ];
        values.extend(self.counts.values());
        values.push(self.amount);
        let placeholders = vec!["?"; values.len()].join(", ");
        let insert = format!("INSERT INTO line VALUES ({placeholders})");
        db.execute(&insert, params_from_iter(values))?;
        Ok(())
    }
}

/// Billed usage of a period: the sums of its lines in all statements so far.
#[derive(Default)]
pub(super) struct BilledUsage {
    pub(super) lines: LineCounts,
    /// In micro-units.
    pub(super) amounts: BTreeMap<LineKey, i64>,
}

/// Returns the usage of `period` that all statements so far have billed.
pub(super) fn load_billed_usage(db: &Connection, period: Period) -> Result<BilledUsage> {
    let mut select = db.prepare(
        "SELECT tenant, class, sum(uses), sum(whole), sum(partial), sum(share), sum(refused), sum(failed), sum(gone),
           sum(tries), sum(parts), sum(attempts), sum(crossed), sum(ambiguous), sum(amount)
         FROM line WHERE period = ? GROUP BY tenant, class",
    )?;
    let mut rows = select.query([period.start_ms])?;
    let mut billed = BilledUsage::default();
    while let Some(row) = rows.next()? {
        let key = LineKey {
            tenant_id: row.get(0)?,
            class_id: row.get(1)?,
        };
        billed.lines.insert(key, read_counts(row)?);
        billed.amounts.insert(key, row.get(14)?);
    }
    Ok(billed)
}

/// Reads the counts of a row, which follow the two columns of the key.
fn read_counts(row: &Row<'_>) -> rusqlite::Result<UsageCounts> {
    let mut values = [0; UsageCounts::COLUMNS.len()];
    for (index, value) in values.iter_mut().enumerate() {
        *value = row.get(index + 2)?;
    }
    Ok(UsageCounts::from_values(values))
}
