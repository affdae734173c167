//! Identifiers of client connections, leaf server connections, health checks and attempts.

use crate::api::RequestId;
use std::rc::Rc;

/// Identifier of a client connection. Identifiers are not reused.
pub type ClientId = u64;

/// Identifier of a connection to a leaf server. Identifiers are not reused.
pub type ConnectionId = u64;

/// Identifier of a health check. Identifiers are not reused.
pub type HealthCheckId = u64;

/// Identifier of a part in the frames exchanged with a leaf server.
pub type WireId = Rc<str>;

/// Identifier of an attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Part that the attempt executes.
    pub part: RequestId,
    /// Number of the attempt among those at its part, counted from 0 in the order of request.
    pub number: u8,
}

/// Allocates the identifiers of queries, parts, connections and health checks, starting at 1.
#[derive(Debug, Default)]
pub(super) struct IdAllocator {
    last: u64,
}

impl IdAllocator {
    /// Returns an identifier that has not been allocated before.
    pub(super) fn allocate(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
