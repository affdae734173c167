//! The store of the settlement: records that are delivered repeatedly, late, in another order or
//! never, and crashes between two operations.

mod closing;
mod delivery;
mod documents;
mod harness;
mod ingest;
mod reconciliation;
mod verification;
