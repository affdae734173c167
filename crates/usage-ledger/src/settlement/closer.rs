//! Stores collected batches and closes periods.

use crate::closing_decision::{decide_closing, ClosingDecision, MemberProgress};
use crate::log::LogPosition;
use crate::period::Period;
use crate::settings::{LedgerSettings, Member};
use crate::statement::Statement;
use crate::store::{ClosingTerms, Store, StoreError};
use crate::wire::Batch;
use std::collections::HashMap;

/// A period that cannot close yet because records are missing.
#[derive(PartialEq)]
struct WaitingPeriod {
    period: Period,
    /// Names of the members whose records are missing.
    missing: Vec<String>,
}

/// Stores batches and closes periods according to the settings in force.
pub(super) struct PeriodCloser {
    store: Store,
    pub(super) settings: LedgerSettings,
    /// Waiting period that was logged last, so that it is not logged again without a change.
    last_logged: Option<WaitingPeriod>,
}

impl PeriodCloser {
    pub(super) fn new(store: Store, settings: LedgerSettings) -> PeriodCloser {
        PeriodCloser {
            store,
            settings,
            last_logged: None,
        }
    }

    /// Applies new settings, except for the calendar and the store, which can't change at run time.
    pub(super) fn reload(&mut self, settings: LedgerSettings) {
        let calendar = self.settings.calendar.clone();
        self.settings = LedgerSettings {
            calendar,
            ..settings
        };
    }

    /// Stores a batch. Returns the position up to which the log of the member is stored.
    pub(super) fn ingest(
        &mut self,
        member: &str,
        batch: &Batch,
    ) -> Result<LogPosition, StoreError> {
        let bounds = self.settings.join_bounds();
        let calendar = &self.settings.calendar;
        let summary = self.store.ingest(member, batch, calendar, bounds)?;
        for damage in &batch.damage {
            let (segment, from, to) = (&damage.segment, damage.from, damage.to);
            tracing::error!(
                member,
                segment,
                from,
                to,
                "usage log contains unreadable bytes"
            );
        }
        if summary.late > 0 {
            tracing::warn!(
                member,
                late = summary.late,
                "stored late records; the next statement will adjust closed periods"
            );
        }
        self.store.position(member)
    }

    /// Closes the next period if it may close at `now_ms` (Unix milliseconds).
    pub(super) fn close_next(&mut self, now_ms: i64) -> Result<(), StoreError> {
        let Some(period) = self.store.next_period(&self.settings.calendar)? else {
            return Ok(());
        };
        let bounds = self.settings.join_bounds();
        if now_ms < bounds.arrivals(period).end {
            return Ok(());
        }
        let members = self.progress(period)?;
        let missing = match decide_closing(period, bounds, self.settings.grace_ms, now_ms, &members)
        {
            ClosingDecision::Complete => Vec::new(),
            ClosingDecision::Incomplete(missing) => missing,
            ClosingDecision::Wait(missing) => {
                self.log_waiting(WaitingPeriod { period, missing });
                return Ok(());
            }
        };
        let terms = ClosingTerms {
            bounds,
            prices: &self.settings.prices,
            allowances: &self.settings.allowances,
            members: members.into_iter().map(|member| member.member).collect(),
            missing: &missing,
            now_ms,
        };
        let statement = self.store.close_period(period, &terms)?;
        log_closed(&statement, &missing);
        Ok(())
    }

    /// Returns the progress of collection for each member that was configured during the period.
    fn progress(&self, period: Period) -> Result<Vec<MemberProgress>, StoreError> {
        let statuses = self.store.member_statuses()?.into_iter();
        let complete_until_ms: HashMap<String, i64> = statuses
            .map(|status| (status.member, status.complete_until_ms))
            .collect();
        let overlaps_period =
            |member: &Member| member.from_ms < period.end_ms && member.until_ms > period.start_ms;
        let members = self.settings.members.iter();
        Ok(members
            .filter(|(_, member)| overlaps_period(member))
            .map(|(name, _)| MemberProgress {
                member: name.clone(),
                complete_until_ms: complete_until_ms.get(name).copied(),
            })
            .collect())
    }

    fn log_waiting(&mut self, waiting: WaitingPeriod) {
        if self.last_logged.as_ref() == Some(&waiting) {
            return;
        }
        tracing::info!(
            period = waiting.period.name(),
            missing = waiting.missing.join(" "),
            "period cannot close yet: waiting for the records of members"
        );
        self.last_logged = Some(waiting);
    }
}

fn log_closed(statement: &Statement, missing: &[String]) {
    tracing::info!(
        period = statement.period,
        lines = statement.lines.len(),
        total = statement.total,
        missing = missing.join(" "),
        "period closed"
    );
}
