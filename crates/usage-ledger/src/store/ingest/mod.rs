//! Taking records from members' logs.
//!
//! Transaction boundary: one transaction a batch holds its records and damage, the member's new
//! position, and the closed periods that the records make dirty. A batch that arrives again changes
//! nothing. Numbers for new names are committed before it; an unused one does no harm.

mod batch;
mod header_ids;
mod run_progress;

pub use batch::IngestSummary;
