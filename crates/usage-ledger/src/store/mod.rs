//! The settlement's store: one SQLite file.
//!
//! One process writes at a time; others may read. Each operation that changes more than one row
//! runs in one transaction, so after a crash the store contains all changes of an operation or
//! none.
//!
//! Tables and columns keep the names of schema version 1. The code that reads and writes rows maps
//! them to the names of the Rust types.
//!
//! | module | responsibility | transaction |
//! | --- | --- | --- |
//! | `schema` | defines and migrates the schema | one for all missing versions |
//! | `ingest` | stores batches of records | one per batch |
//! | `closing` | closes a period and adjusts earlier ones | one per period |
//! | `correction` | enters corrections | one per correction |
//! | `outbox` | stores documents and the results of their delivery | one per delivery |
//! | `queries` | reads positions, members, periods and statements | none |
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
