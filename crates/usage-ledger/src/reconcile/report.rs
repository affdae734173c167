//! The report of a reconciliation.

use std::collections::BTreeMap;
use std::fmt;

/// Kind of a difference between the ledger and a client on one logical request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DifferenceKind {
    /// The ledger has the request, but no client has recorded it.
    OnlyInLedger,
    /// A client has recorded the request, but the ledger does not have it.
    OnlyAtClient,
    /// Both sides have the request, with different kinds of answer: complete, partial or none.
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

/// A logical request on which the ledger and a client differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestDifference {
    /// Kind of the difference.
    pub kind: DifferenceKind,
    /// Name of the tenant that sent the request.
    pub tenant: String,
    /// Name of the class of the request.
    pub class: String,
    /// Time at which the client sent the first request or, for [`DifferenceKind::OnlyInLedger`], at
    /// which it arrived; as UTC text.
    pub at: String,
    /// Key of the request, as 16 hexadecimal digits.
    pub key: String,
    /// Published name of the outcome in the ledger; empty if the ledger does not have the request.
    pub ledger_outcome: String,
    /// Published name of the outcome at the client; empty if no client has recorded the request.
    pub client_outcome: String,
}

/// Key of a total: one tenant and class in one period.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TotalKey {
    /// Name of the period in which the requests arrived.
    pub period: String,
    /// Name of the tenant that sent the requests.
    pub tenant: String,
    /// Name of the class of the requests.
    pub class: String,
}

/// Numbers of logical requests of one tenant and class in one period, in the ledger and at clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Number of requests in the ledger.
    pub ledger_requests: u64,
    /// Number of requests in the files of clients.
    pub client_requests: u64,
    /// Number of answered requests in the ledger.
    pub ledger_answered: u64,
    /// Number of answered requests in the files of clients.
    pub client_answered: u64,
}

impl RequestTotals {
    /// Returns whether the ledger and the clients have the same numbers of requests and of answered
    /// requests.
    pub fn is_equal(&self) -> bool {
        self.ledger_requests == self.client_requests && self.ledger_answered == self.client_answered
    }
}

/// Result of a reconciliation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReconciliationReport {
    /// Totals by period, tenant and class.
    pub totals: BTreeMap<TotalKey, RequestTotals>,
    /// All differences on single logical requests.
    pub differences: Vec<RequestDifference>,
}

impl ReconciliationReport {
    /// Returns the number of totals in which the ledger and the clients differ.
    pub fn unequal_totals(&self) -> usize {
        self.totals
            .values()
            .filter(|totals| !totals.is_equal())
            .count()
    }
}
