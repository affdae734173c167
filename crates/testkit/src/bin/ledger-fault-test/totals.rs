//! Uses by period, tenant and class, as clients counted them.

use crate::client_use::{UseOutcome, UseRecord};
use crate::timestamps::format_ms;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// What uses are totalled by.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UseTotalKey {
    /// The start of the period.
    pub period: String,
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
}

/// Counts of uses.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct UseCounts {
    /// All uses.
    pub uses: i64,
    /// Uses with a complete answer.
    pub complete: i64,
    /// Uses with a partial answer.
    pub partial: i64,
}

/// Counts by period, tenant and class.
pub type Totals = BTreeMap<UseTotalKey, UseCounts>;

/// Totals what clients sent.
pub fn total_by_key(uses: &[UseRecord], period_ms: u64) -> Totals {
    let mut totals = Totals::new();
    for record in uses {
        let period_start_ms = record.started_ms - record.started_ms % period_ms;
        let key = UseTotalKey {
            period: format_ms(period_start_ms),
            tenant: record.tenant.into(),
            class: record.class.into(),
        };
        let counts = totals.entry(key).or_default();
        counts.uses += 1;
        counts.complete += i64::from(record.outcome == UseOutcome::Complete);
        counts.partial += i64::from(record.outcome == UseOutcome::Partial);
    }
    totals
}

/// Writes the uses in the form that `ledger reconcile` reads; the names of its columns are fixed.
pub fn write_csv(path: &Path, uses: &[UseRecord]) -> io::Result<()> {
    let mut writer = csv::Writer::from_path(path)?;
    writer.write_record(["at_ms", "tenant", "class", "outcome", "tries", "key"])?;
    for record in uses {
        writer.write_record([
            &record.started_ms.to_string(),
            record.tenant,
            record.class,
            record.outcome.label(),
            &record.attempts.to_string(),
            &format!("{:016x}", record.join_key),
        ])?;
    }
    writer.flush()
}
