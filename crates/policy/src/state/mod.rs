//! Records of replicas, queries, parts and attempts. They only hold data and keep it consistent;
//! `crate::policy` makes the decisions.

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
