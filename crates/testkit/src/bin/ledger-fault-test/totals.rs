//! Totals of logical requests by period, tenant and class, computed from the clients' records.

use crate::logical_request::{ClientRequestOutcome, ClientRequestRecord};
use crate::timestamps::format_ms;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// What [`RequestCounts`] are counted by.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestCountsKey {
    /// Start of the period, as a timestamp in the format of the ledger.
    pub period: String,
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the query class.
    pub class: String,
}

/// Numbers of logical requests.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct RequestCounts {
    /// Requests with any outcome.
    pub requests: i64,
    /// Requests with a complete answer.
    pub complete: i64,
    /// Requests with a partial answer.
    pub partial: i64,
}

/// Numbers of logical requests by period, tenant and class.
pub type Totals = BTreeMap<RequestCountsKey, RequestCounts>;

/// Computes the totals of the clients' records.
pub fn total_by_key(requests: &[ClientRequestRecord], period_ms: u64) -> Totals {
    let mut totals = Totals::new();
    for record in requests {
        let period_start_ms = record.started_ms - record.started_ms % period_ms;
        let key = RequestCountsKey {
            period: format_ms(period_start_ms),
            tenant: record.tenant.into(),
            class: record.class.into(),
        };
        let counts = totals.entry(key).or_default();
        counts.requests += 1;
        counts.complete += i64::from(record.outcome == ClientRequestOutcome::Complete);
        counts.partial += i64::from(record.outcome == ClientRequestOutcome::Partial);
    }
    totals
}

/// Writes the clients' records as CSV for `ledger reconcile`, which defines the column names.
pub fn write_csv(path: &Path, requests: &[ClientRequestRecord]) -> io::Result<()> {
    let mut writer = csv::Writer::from_path(path)?;
    writer.write_record(["at_ms", "tenant", "class", "outcome", "tries", "key"])?;
    for record in requests {
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
