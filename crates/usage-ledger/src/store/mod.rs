//! The settlement's store: one SQLite file.
//!
//! One process writes at a time; others may read. Each operation that changes more than one row is
//! one transaction, so that a crash at any point leaves the store as it was before or after it.
//!
//! | module | what it does | transaction |
//! | --- | --- | --- |
//! | `schema` | versions and migrations | one for all missing versions |
//! | `ingest` | takes batches of records | one a batch |
//! | `closing` | closes a period and adjusts earlier ones | one a period |
//! | `correction` | enters corrections | one a correction |
//! | `outbox` | documents and their delivery | one a delivery |
//! | `queries` | positions, members, periods, statements | none |
//! | `verification` | checks what the store claims | none |

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
