//! The interface of the policy: its settings, the events that it receives and the actions that it
//! requests.
//!
//! Times are nanoseconds of the caller's clock, which may have any origin and must be monotonic.

mod action;
mod event;
mod settings;

pub use action::Action;
pub use event::{
    AttemptEnded, AttemptOutcome, EndpointUpdateKind, Event, HealthCheckEnded, LoadReport,
    PartReceived, QueryReceived, ReplicaEntry, ReplicaState,
};
pub use settings::{Idempotency, PolicySettings, QueryClass, RetryBudget};

/// A time on the caller's clock or a duration, in nanoseconds.
pub type Nanos = u64;

/// Identifier of a query or a part. Identifiers are never reused.
pub type RequestId = u64;

/// Identifier of a replica, assigned by the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);
