//! The settlement's store: one SQLite file.
//!
//! One process writes at a time; others may read. Each operation that changes more than one row is
//! one transaction, so that after a crash the store is as it was before or after the operation.
//!
//! The names of tables and columns are those of schema version 1. They are mapped to the names of
//! the code where rows are read and written.
//!
//! | module | what it does | transaction |
//! | --- | --- | --- |
//! | `schema` | versions and migrations | one for all missing versions |
//! | `ingest` | writes batches of records | one per batch |
//! | `closing` | closes a period and adjusts earlier ones | one per period |
//! | `correction` | enters corrections | one per correction |
//! | `outbox` | documents and their delivery | one per delivery |
//! | `queries` | positions, members, periods, statements | none |
//! | `verification` | checks statements and documents against the records | none |

mod carry_over;
mod closing;
mod correction;
mod database;
mod dirty;
mod error;
mod hash;
mod ingest;
mod lines;
mod outbox;
mod queries;
mod records;
mod schema;
mod uncertainty;
mod verification;

pub use closing::ClosingTerms;
pub use database::Store;
pub use error::StoreError;
pub use hash::sha256_hex;
pub use ingest::IngestSummary;
pub use queries::{ClosedPeriod, MemberStatus, StoredStatement};
pub use verification::{VerificationFault, VerificationReport};
