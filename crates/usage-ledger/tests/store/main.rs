//! The settlement's store: what is delivered twice, late, in another order, or never; and crashes
//! between the steps.

mod closing;
mod delivery;
mod documents;
mod harness;
mod ingest;
mod reconciliation;
mod verification;
