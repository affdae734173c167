//! Reconciles the ledger with the clients' own records of their requests.

use crate::join::JoinBounds;
use crate::join::{Joiner, LogicalRequest, RecordedOutcome};
use crate::period::{format_timestamp, Calendar};
use crate::store::{Store, StoreError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::ops::Range;

/// One logical request as a client recorded it: a row of its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRequest {
    /// When the first request was sent, in Unix milliseconds.
    pub at_ms: i64,
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
    /// `whole`, `partial`, or anything else for what was not answered.
    pub outcome: String,
    /// How many requests the client made, with retries.
    pub tries: u32,
    /// The key that joins its requests, in hexadecimal.
    pub key: String,
}

/// How the two sides differ on one logical request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DifferenceKind {
    /// No client has recorded it.
    OnlyInLedger,
    /// The ledger does not have it.
    OnlyAtClient,
    /// Both have it, with different outcomes.
    OutcomeDiffers,
}

impl fmt::Display for DifferenceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DifferenceKind::OnlyInLedger => "only the ledger has it",
            DifferenceKind::OnlyAtClient => "only the client has it",
            DifferenceKind::OutcomeDiffers => "ended otherwise",
        })
    }
}

/// What only one side has, or what differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestDifference {
    /// How the sides differ.
    pub kind: DifferenceKind,
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
    /// Arrival of the first request, or when the client sent it.
    pub at: String,
    /// The key, in hexadecimal.
    pub key: String,
    /// The ledger's outcome; empty if it has none.
    pub ledger: String,
    /// The client's outcome; empty if it has none.
    pub client: String,
}

/// What a total counts: the logical requests of one tenant and class in one period.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TotalKey {
    /// The period's name.
    pub period: String,
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
}

/// Logical requests of one tenant and class in one period, on both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// All that the ledger has.
    pub ledger: u64,
    /// All that the clients have.
    pub client: u64,
    /// Those answered, by the ledger.
    pub ledger_answered: u64,
    /// Those answered, by the clients.
    pub client_answered: u64,
}

impl RequestTotals {
    /// Whether both sides have as many requests, and as many answered ones.
    pub fn is_equal(&self) -> bool {
        self.ledger == self.client && self.ledger_answered == self.client_answered
    }
}

/// The result of a reconciliation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReconciliationReport {
    /// By period, tenant and class.
    pub totals: BTreeMap<TotalKey, RequestTotals>,
    /// All differences between single requests.
    pub differences: Vec<RequestDifference>,
}

impl ReconciliationReport {
    /// How many totals differ.
    pub fn unequal(&self) -> usize {
        self.totals.values().filter(|pair| !pair.is_equal()).count()
    }
}

/// The outcome as the clients' files and the export formats name it.
fn outcome_name(outcome: RecordedOutcome) -> &'static str {
    match outcome {
        RecordedOutcome::Complete => "whole",
        RecordedOutcome::Partial(_) => "partial",
        RecordedOutcome::Rejected => "refused",
        RecordedOutcome::Failed => "failed",
        RecordedOutcome::Cancelled => "left",
    }
}

fn is_answered(outcome: &str) -> bool {
    outcome == "whole" || outcome == "partial"
}

/// What both sides know of a logical request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    tenant: String,
    class: String,
    /// In hexadecimal.
    key: String,
}

/// A reconciliation under way.
struct Reconciliation<'a> {
    calendar: &'a Calendar,
    reconciled: ReconciliationReport,
    /// Requests of the ledger that no client's request has been matched with, oldest first.
    unmatched: BTreeMap<RequestKey, VecDeque<LogicalRequest>>,
}

/// Joins all records that arrived in a range of Unix milliseconds, and compares the logical
/// requests with those that clients sent in it, one by one.
///
/// # Errors
/// The store can't be read.
pub fn reconcile_with_clients(
    store: &Store,
    calendar: &Calendar,
    bounds: JoinBounds,
    arrivals: Range<i64>,
    clients: &[ClientRequest],
) -> Result<ReconciliationReport, StoreError> {
    let mut reconciliation = Reconciliation {
        calendar,
        reconciled: ReconciliationReport::default(),
        unmatched: BTreeMap::new(),
    };
    let names = store.names()?;
    let name = |id: u32| names.get(&id).cloned().unwrap_or_default();
    let mut add = |request: LogicalRequest| {
        let first = request.first();
        let key = RequestKey {
            tenant: name(first.tenant),
            class: name(first.class),
            key: format!("{:016x}", first.key),
        };
        reconciliation.add_ledger_request(key, request);
    };
    let mut joiner = Joiner::new(bounds);
    for record in store.records(arrivals.start, arrivals.end)? {
        joiner.push(record, &mut add);
    }
    joiner.finish(&mut add);
    let clients = clients.iter();
    let mut clients: Vec<&ClientRequest> = clients
        .filter(|client| arrivals.contains(&client.at_ms))
        .collect();
    clients.sort_by_key(|client| client.at_ms);
    Ok(reconciliation.match_clients(&clients))
}

impl Reconciliation<'_> {
    fn total(&mut self, at: i64, key: &RequestKey) -> &mut RequestTotals {
        let total = TotalKey {
            period: self.calendar.at(at).name(),
            tenant: key.tenant.clone(),
            class: key.class.clone(),
        };
        self.reconciled.totals.entry(total).or_default()
    }

    fn add_ledger_request(&mut self, key: RequestKey, request: LogicalRequest) {
        let total = self.total(request.first().arrived_at_ms, &key);
        total.ledger += 1;
        total.ledger_answered += u64::from(is_answered(outcome_name(request.outcome)));
        self.unmatched.entry(key).or_default().push_back(request);
    }

    fn match_clients(mut self, clients: &[&ClientRequest]) -> ReconciliationReport {
        for requests in self.unmatched.values_mut() {
            let requests = requests.make_contiguous();
            requests.sort_by_key(|request| request.first().id());
        }
        for client in clients {
            self.match_client(client);
        }
        for (key, requests) in std::mem::take(&mut self.unmatched) {
            for request in requests {
                self.add_difference(
                    DifferenceKind::OnlyInLedger,
                    &key,
                    request.first().arrived_at_ms,
                    Some(outcome_name(request.outcome)),
                    None,
                );
            }
        }
        self.reconciled
    }

    fn match_client(&mut self, client: &ClientRequest) {
        let key = RequestKey {
            tenant: client.tenant.clone(),
            class: client.class.clone(),
            key: client.key.clone(),
        };
        let answered = is_answered(&client.outcome);
        let total = self.total(client.at_ms, &key);
        total.client += 1;
        total.client_answered += u64::from(answered);
        let request = self.unmatched.get_mut(&key).and_then(VecDeque::pop_front);
        let ledger = request.map(|request| outcome_name(request.outcome));
        let kind = match ledger {
            None => DifferenceKind::OnlyAtClient,
            Some(ledger) if is_answered(ledger) != answered => DifferenceKind::OutcomeDiffers,
            Some(ledger) if answered && ledger != client.outcome => DifferenceKind::OutcomeDiffers,
            Some(_) => return,
        };
        self.add_difference(kind, &key, client.at_ms, ledger, Some(&client.outcome));
    }

    fn add_difference(
        &mut self,
        kind: DifferenceKind,
        key: &RequestKey,
        at: i64,
        ledger: Option<&str>,
        client: Option<&str>,
    ) {
        self.reconciled.differences.push(RequestDifference {
            kind,
            tenant: key.tenant.clone(),
            class: key.class.clone(),
            at: format_timestamp(at),
            key: key.key.clone(),
            ledger: ledger.unwrap_or_default().to_string(),
            client: client.unwrap_or_default().to_string(),
        });
    }
}
