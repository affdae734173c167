//! Identifiers.

/// The identifier of a client's connection; it is never used again.
pub type ClientId = u64;

/// The identifier of a connection to a leaf server; it is never used again.
pub type ConnectionId = u64;

/// Gives out the identifiers of queries, parts, connections and health checks, from 1 on.
#[derive(Debug, Default)]
pub(super) struct IdAllocator {
    last: u64,
}

impl IdAllocator {
    /// An identifier that was not given out before.
    pub(super) fn allocate(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
