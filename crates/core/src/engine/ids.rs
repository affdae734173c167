//! Identifiers.

use crate::api::RequestId;
use std::rc::Rc;

/// The identifier of a client's connection; it is never used again.
pub type ClientId = u64;

/// The identifier of a connection to a leaf server; it is never used again.
pub type ConnectionId = u64;

/// The identifier of a health check; it is never used again.
pub type HealthCheckId = u64;

/// The id that stands for a part in the frames to and from a leaf server.
pub type WireId = Rc<str>;

/// The identifier of one attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part that is attempted.
    pub part: RequestId,
    /// The number of the attempt, from 0 in the order sent.
    pub number: u8,
}

/// Allocates the identifiers of queries, parts, connections and health checks, from 1 on.
#[derive(Debug, Default)]
pub(super) struct IdAllocator {
    last: u64,
}

impl IdAllocator {
    /// An identifier that was not allocated before.
    pub(super) fn allocate(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
