//! Reconciliation of the ledger with the records that clients keep of their requests.

mod client_usage_row;
mod comparison;
mod report;

pub use client_usage_row::ClientUsageRow;
pub use comparison::reconcile_with_clients;
pub use report::{
    DifferenceKind, ReconciliationReport, RequestDifference, RequestTotals, TotalKey,
};
