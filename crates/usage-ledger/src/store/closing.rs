//! Closes periods.
//!
//! Transaction boundary: one transaction per period. It covers the statement and its lines, the
//! adjustments of earlier periods, the corrections, and the documents for the outbox.

use super::database::Store;
use super::error::{Result, StoreError};
use super::hash::sha256_hex;
use super::lines::LineRow;
use super::queries::MemberStatus;
use super::{carry_over, correction, dirty, lines, outbox};
use crate::document::Document;
use crate::join::JoinBounds;
use crate::line_counts::{adjustments, LineCounts, LineKey};
use crate::period::{format_timestamp, Period};
use crate::rate::line_amount;
use crate::settings::Price;
use crate::statement::{tenant_totals, MemberState, Statement, ROUNDING};
use rusqlite::{params, Connection, OptionalExtension};
use std::collections::{BTreeMap, HashMap};

/// Settings in force and state of the collection when a period is closed.
#[derive(Clone, Debug)]
pub struct ClosingTerms<'a> {
    /// Time limits for joining retries.
    pub bounds: JoinBounds,
    /// Prices by class name.
    pub prices: &'a BTreeMap<String, Price>,
    /// Allowances by tenant name, in answered requests per period.
    pub allowances: &'a BTreeMap<String, u64>,
    /// Names of the members that were configured during the period.
    pub members: Vec<String>,
    /// Names of the members from which not all records of the period have been collected.
    pub missing: &'a [String],
    /// Time of closing, in Unix milliseconds.
    pub now_ms: i64,
}

impl Store {
    /// Closes a period and returns its statement.
    ///
    /// # Errors
    /// The period is already closed, or the store can't be written.
    pub fn close_period(&mut self, period: Period, terms: &ClosingTerms<'_>) -> Result<Statement> {
        let statuses = self.member_statuses()?;
        let names = self.names_by_id()?;
        let transaction = self.begin()?;
        let closing = Closing {
            db: &transaction,
            period,
            terms,
            names: &names,
        };
        let statement = closing.run(&statuses)?;
        transaction.commit()?;
        Ok(statement)
    }
}

/// The closing of one period, within its transaction.
struct Closing<'a> {
    db: &'a Connection,
    period: Period,
    terms: &'a ClosingTerms<'a>,
    names: &'a HashMap<u32, String>,
}

/// Result of settling the period to close or a dirty earlier period.
struct SettlementResult {
    lines: LineCounts,
    /// Whether the carry-over of the period differs from the stored one.
    has_carry_over_changed: bool,
}

impl Closing<'_> {
    fn run(&self, statuses: &[MemberStatus]) -> Result<Statement> {
        self.insert_period()?;
        let mut lines = self.adjustment_lines()?;
        lines.extend(self.own_lines()?);
        for line in &lines {
            line.insert(self.db, self.period)?;
        }
        let statement = self.build_statement(&lines, statuses)?;
        self.insert_statement(&statement)?;
        for document in Document::of_statement(&statement) {
            outbox::insert(self.db, &document, self.terms.now_ms)?;
        }
        Ok(statement)
    }

    fn insert_period(&self) -> Result<()> {
        let start = self.period.start_ms;
        let count = "SELECT count(*) FROM statement WHERE period = ?";
        let statements: i64 = self.db.query_row(count, [start], |row| row.get(0))?;
        if statements > 0 {
            let period = self.period.name();
            return Err(StoreError::PeriodClosed { period });
        }
        let prices = serde_json::to_string(self.terms.prices)?;
        self.db.execute(
            "INSERT INTO period VALUES (?, ?, ?, 0)
             ON CONFLICT (start) DO UPDATE SET end = excluded.end, prices = excluded.prices",
            params![start, self.period.end_ms, prices],
        )?;
        Ok(())
    }

    /// Settles all dirty earlier periods again and returns their adjustments.
    fn adjustment_lines(&self) -> Result<Vec<LineRow>> {
        let mut lines = Vec::new();
        while let Some(earlier) = dirty::first_before(self.db, self.period.start_ms)? {
            let result = self.settle(earlier.period)?;
            if result.has_carry_over_changed {
                // The period after `earlier` may have counted records that `earlier` counts now, or
                // vice versa. The period to close need not be marked as dirty, since it is settled
                // last in any case.
                dirty::mark_following(self.db, earlier.period, self.period.start_ms)?;
            }
            lines.extend(self.adjust(&earlier, &result.lines)?);
        }
        Ok(lines)
    }

    fn adjust(&self, earlier: &dirty::DirtyPeriod, current: &LineCounts) -> Result<Vec<LineRow>> {
        let billed = lines::load_billed_usage(self.db, earlier.period)?;
        let adjust = |(key, counts)| {
            let price = self.price(&earlier.prices, key);
            let counts_now = current.get(&key);
            let amount_now =
                counts_now.map_or(0, |counts| line_amount(counts, price.unwrap_or_default()));
            LineRow {
                period: earlier.period,
                is_adjustment: true,
                key,
                counts,
                amount: amount_now - billed.amounts.get(&key).copied().unwrap_or_default(),
                is_unpriced: price.is_none(),
            }
        };
        let differences = adjustments(current, &billed.lines);
        Ok(differences.into_iter().map(adjust).collect())
    }

    /// Settles the period to close and returns its lines.
    fn own_lines(&self) -> Result<Vec<LineRow>> {
        let lines = self.settle(self.period)?.lines;
        let line = |(key, counts)| {
            let price = self.price(self.terms.prices, key);
            LineRow {
                period: self.period,
                is_adjustment: false,
                key,
                counts,
                amount: line_amount(&counts, price.unwrap_or_default()),
                is_unpriced: price.is_none(),
            }
        };
        Ok(lines.into_iter().map(line).collect())
    }

    /// Settles a period from its records and stores its carry-over.
    fn settle(&self, period: Period) -> Result<SettlementResult> {
        let settled = carry_over::settle(self.db, period, self.terms.bounds)?;
        let has_carry_over_changed = carry_over::save(self.db, period, &settled)?;
        dirty::clear(self.db, period)?;
        Ok(SettlementResult {
            lines: settled.lines,
            has_carry_over_changed,
        })
    }

    fn price(&self, prices: &BTreeMap<String, Price>, key: LineKey) -> Option<Price> {
        let class = self.names.get(&key.class_id).map_or("", String::as_str);
        prices.get(class).copied()
    }

    fn build_statement(&self, lines: &[LineRow], statuses: &[MemberStatus]) -> Result<Statement> {
        let corrections = correction::assign_pending(self.db, self.period)?;
        let lines: Vec<_> = lines
            .iter()
            .map(|line| line.with_names(self.names))
            .collect();
        let line_total: i64 = lines.iter().map(|line| line.amount).sum();
        let correction_total: i64 = corrections.iter().map(|line| line.amount).sum();
        let members = self.terms.members.iter();
        let select = "SELECT hash FROM statement ORDER BY period DESC LIMIT 1";
        let previous_hash: Option<String> =
            self.db.query_row(select, [], |row| row.get(0)).optional()?;
        Ok(Statement {
            period: self.period.name(),
            period_end: format_timestamp(self.period.end_ms),
            closed_at: format_timestamp(self.terms.now_ms),
            members: members
                .map(|member| self.member_state(member, statuses))
                .collect(),
            total: line_total + correction_total,
            tenants: tenant_totals(&lines, &corrections, self.terms.allowances),
            lines,
            corrections,
            rounding: ROUNDING.into(),
            previous_hash: previous_hash.unwrap_or_default(),
        })
    }

    fn member_state(&self, member: &str, statuses: &[MemberStatus]) -> MemberState {
        let status = statuses.iter().find(|status| status.member == member);
        MemberState {
            member: member.into(),
            complete_until: status.map(|status| format_timestamp(status.complete_until_ms)),
            is_missing: self.terms.missing.iter().any(|missing| missing == member),
            lost_records: status.map_or(0, |status| status.lost_records),
            unclosed_runs: status.map_or(0, |status| status.unclosed_runs),
            damaged_ranges: status.map_or(0, |status| status.damaged_ranges),
        }
    }

    fn insert_statement(&self, statement: &Statement) -> Result<()> {
        let body = serde_json::to_string(statement)?;
        let hash = sha256_hex(body.as_bytes());
        self.db.execute(
            "INSERT INTO statement VALUES (?, ?, ?, ?)",
            params![self.period.start_ms, self.terms.now_ms, body, hash],
        )?;
        Ok(())
    }
}
