//! Reconciles the ledger with the clients' own records of their requests.

mod client_request;
mod comparison;
mod report;

pub use client_request::ClientRequest;
pub use comparison::reconcile_with_clients;
pub use report::{
    DifferenceKind, ReconciliationReport, RequestDifference, RequestTotals, TotalKey,
};
