//! Ingestion: stores batches from the logs of members.
//!
//! Transaction boundary: one transaction per batch. It covers the records and damage of the batch,
//! the new position of the member, and the marking of dirty periods. A batch that is delivered
//! again changes nothing. The ids of new names are committed before the batch; an id
//! without records is harmless.

mod batch;
mod header_ids;
mod run_progress;

pub use batch::IngestSummary;
