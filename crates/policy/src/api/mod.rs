//! The policy's interface: its settings, the events it receives and the actions it requests.
//!
//! Nothing here decides anything. Times are nanoseconds of the caller's clock, which may start
//! anywhere and never runs backwards.

mod action;
mod event;
mod settings;

pub use action::Action;
pub use event::{
    AttemptEnded, AttemptOutcome, EndpointUpdateKind, Event, HealthCheckEnded, LoadReport,
    PartReceived, QueryReceived, ReplicaEntry, ReplicaState,
};
pub use settings::{Idempotency, PolicySettings, QueryClass, RetryBudget};

/// Nanoseconds, as a point on the caller's clock or as a length of time.
pub type Nanos = u64;

/// The identifier of a query or of a part; an identifier is never used again.
pub type RequestId = u64;

/// The identifier of a replica, by whatever number its owner uses for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);
