//! Records of replicas, queries, parts and attempts: data and its bookkeeping, no decisions. The
//! decisions that change them are in `crate::policy`.

mod attempt;
mod open_queries;
mod part;
mod query;
mod replica;

pub use attempt::{AttemptEnd, AttemptKey, AttemptRecord, InFlightAttempt};
pub use open_queries::OpenQueries;
pub use part::{PartState, RaceWinner};
pub use query::{QueryState, StepSums, REACHABLE_TOLERANCE};
pub use replica::{ConnectionUse, KnownReplicas, ReplicaRecord};
