//! Comparison of the ledger with the records of clients, one logical request at a time.

use super::client_usage_row::ClientUsageRow;
use super::report::{
    DifferenceKind, ReconciliationReport, RequestDifference, RequestTotals, TotalKey,
};
use crate::join::{JoinBounds, Joiner, LogicalRequest, RecordedOutcome};
use crate::period::{format_timestamp, Calendar};
use crate::store::{Store, StoreError};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// Joins all records that arrived in the range `arrivals` (Unix milliseconds), and compares the
/// logical requests, one by one, with those that clients sent in the same range.
///
/// # Errors
/// The store can't be read.
pub fn reconcile_with_clients(
    store: &Store,
    calendar: &Calendar,
    bounds: JoinBounds,
    arrivals: Range<i64>,
    client_rows: &[ClientUsageRow],
) -> Result<ReconciliationReport, StoreError> {
    let mut comparison = Comparison {
        calendar,
        report: ReconciliationReport::default(),
        unmatched: BTreeMap::new(),
    };
    comparison.add_ledger(store, bounds, &arrivals)?;
    let client_rows = client_rows.iter();
    let mut client_rows: Vec<&ClientUsageRow> = client_rows
        .filter(|row| arrivals.contains(&row.at_ms))
        .collect();
    client_rows.sort_by_key(|row| row.at_ms);
    Ok(comparison.match_client_rows(&client_rows))
}

/// Properties by which a logical request of the ledger is matched with a client's request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    tenant: String,
    class: String,
    /// Key of the request, as 16 hexadecimal digits.
    key: String,
}

/// State of a comparison.
struct Comparison<'a> {
    calendar: &'a Calendar,
    report: ReconciliationReport,
    /// Logical requests of the ledger that have not been matched with a client's request. Sorted by
    /// arrival, oldest first, before the matching starts.
    unmatched: BTreeMap<RequestKey, VecDeque<LogicalRequest>>,
}

impl Comparison<'_> {
    /// Joins the records of the ledger that arrived in the range `arrivals` (Unix milliseconds) and
    /// adds the logical requests to the comparison.
    fn add_ledger(
        &mut self,
        store: &Store,
        bounds: JoinBounds,
        arrivals: &Range<i64>,
    ) -> Result<(), StoreError> {
        let names = store.names_by_id()?;
        let name = |id: u32| names.get(&id).cloned().unwrap_or_default();
        let mut add = |request: LogicalRequest| {
            let first = request.first();
            let key = RequestKey {
                tenant: name(first.tenant_id),
                class: name(first.class_id),
                key: format!("{:016x}", first.key),
            };
            self.add_ledger_request(key, request);
        };
        let mut joiner = Joiner::new(bounds);
        for record in store.records(arrivals.start, arrivals.end)? {
            joiner.push(record, &mut add);
        }
        joiner.finish(&mut add);
        Ok(())
    }

    fn add_ledger_request(&mut self, key: RequestKey, request: LogicalRequest) {
        let total = self.total(request.first().arrived_at_ms, &key);
        total.ledger_requests += 1;
        total.ledger_answered += u64::from(request.outcome.is_answered());
        self.unmatched.entry(key).or_default().push_back(request);
    }

    fn match_client_rows(mut self, client_rows: &[&ClientUsageRow]) -> ReconciliationReport {
        for requests in self.unmatched.values_mut() {
            let requests = requests.make_contiguous();
            requests.sort_by_key(|request| request.first().id());
        }
        for row in client_rows {
            self.match_client_row(row);
        }
        self.add_unmatched_requests();
        self.report
    }

    /// Adds a difference for each request of the ledger that no client has recorded.
    fn add_unmatched_requests(&mut self) {
        for (key, requests) in std::mem::take(&mut self.unmatched) {
            for request in requests {
                self.add_difference(
                    DifferenceKind::OnlyInLedger,
                    &key,
                    request.first().arrived_at_ms,
                    Some(request.outcome.published_name()),
                    None,
                );
            }
        }
    }

    fn match_client_row(&mut self, row: &ClientUsageRow) {
        let key = RequestKey {
            tenant: row.tenant.clone(),
            class: row.class.clone(),
            key: row.key.clone(),
        };
        let is_answered = row.is_answered();
        let total = self.total(row.at_ms, &key);
        total.client_requests += 1;
        total.client_answered += u64::from(is_answered);
        let request = self.unmatched.get_mut(&key).and_then(VecDeque::pop_front);
        let ledger_outcome = request.map(|request| request.outcome);
        let kind = match ledger_outcome {
            None => DifferenceKind::OnlyAtClient,
            Some(outcome) if outcomes_match(outcome, row) => return,
            Some(_) => DifferenceKind::OutcomeDiffers,
        };
        let ledger_name = ledger_outcome.map(RecordedOutcome::published_name);
        self.add_difference(kind, &key, row.at_ms, ledger_name, Some(&row.outcome));
    }

    fn total(&mut self, at_ms: i64, key: &RequestKey) -> &mut RequestTotals {
        let total_key = TotalKey {
            period: self.calendar.period_at(at_ms).name(),
            tenant: key.tenant.clone(),
            class: key.class.clone(),
        };
        self.report.totals.entry(total_key).or_default()
    }

    fn add_difference(
        &mut self,
        kind: DifferenceKind,
        key: &RequestKey,
        at_ms: i64,
        ledger_outcome: Option<&str>,
        client_outcome: Option<&str>,
    ) {
        self.report.differences.push(RequestDifference {
            kind,
            tenant: key.tenant.clone(),
            class: key.class.clone(),
            at: format_timestamp(at_ms),
            key: key.key.clone(),
            ledger_outcome: ledger_outcome.unwrap_or_default().to_string(),
            client_outcome: client_outcome.unwrap_or_default().to_string(),
        });
    }
}

/// Returns whether the ledger and the client have the same kind of answer, or both have none.
fn outcomes_match(ledger: RecordedOutcome, row: &ClientUsageRow) -> bool {
    if ledger.is_answered() {
        ledger.published_name() == row.outcome
    } else {
        !row.is_answered()
    }
}
