//! Records of replicas, queries, parts and attempts: data and its bookkeeping, no decisions.

mod part;
mod query;
mod query_table;
mod replica;

pub use part::{AttemptEnd, AttemptId, AttemptRecord, InFlightAttempt, PartState, RaceWinner};
pub use query::{QueryState, StepSums, REACHABLE_TOLERANCE};
pub use query_table::OpenQueries;
pub use replica::{ConnectionUse, KnownReplicas, ReplicaRecord};
