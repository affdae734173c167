//! The classes and tenants that records refer to by index.

use crate::log::VERSION;
use crate::wire::{Class, Header};

/// Number of nanoseconds in a millisecond.
pub(super) const NANOSECONDS_PER_MS: u64 = 1_000_000;

/// Classes and tenants that the records of one run of an aggregator refer to by index.
#[derive(Clone, Debug, Default)]
pub struct RunTables {
    /// Name of the aggregator that writes the log.
    pub aggregator: String,
    /// Classes; records contain indexes into this list.
    pub classes: Vec<RunClass>,
    /// Names of tenants; records contain indexes into this list.
    pub tenants: Vec<String>,
}

/// A class of requests during one run of an aggregator.
#[derive(Clone, Debug)]
pub struct RunClass {
    /// Name that the settlement uses for prices and statements.
    pub name: String,
    /// Client timeout: the maximum time that a client waits over all its requests, in nanoseconds.
    pub client_timeout_ns: u64,
}

impl RunTables {
    /// Returns the header of the first segment of a run. Maps the names of the fields to their
    /// published names.
    pub(super) fn into_header(self, incarnation: u64) -> Header {
        let classes = self.classes.into_iter().map(|class| Class {
            name: class.name,
            give_up_ms: class.client_timeout_ns / NANOSECONDS_PER_MS,
        });
        Header {
            version: VERSION,
            mixer: self.aggregator,
            incarnation,
            first_sequence: 1,
            classes: classes.collect(),
            tenants: self.tenants,
        }
    }
}
