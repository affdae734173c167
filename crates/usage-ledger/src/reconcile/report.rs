//! The report of a reconciliation.

use std::collections::BTreeMap;
use std::fmt;

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

/// A logical request on which the two sides differ.
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
    pub ledger_outcome: String,
    /// The client's outcome; empty if it has none.
    pub client_outcome: String,
}

/// Identifies a total: the logical requests of one tenant and class in one period.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TotalKey {
    /// The period's name.
    pub period: String,
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
}

/// The number of logical requests of one tenant and class in one period, on both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests in the ledger.
    pub ledger_requests: u64,
    /// Requests in the files of the clients.
    pub client_requests: u64,
    /// Answered requests in the ledger.
    pub ledger_answered: u64,
    /// Answered requests in the files of the clients.
    pub client_answered: u64,
}

impl RequestTotals {
    /// Whether both sides have the same number of requests and of answered requests.
    pub fn is_equal(&self) -> bool {
        self.ledger_requests == self.client_requests && self.ledger_answered == self.client_answered
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
    /// The number of totals that differ.
    pub fn unequal_totals(&self) -> usize {
        self.totals.values().filter(|pair| !pair.is_equal()).count()
    }
}
