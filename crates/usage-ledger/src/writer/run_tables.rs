//! The names that the numbers in a run's records refer to.

use crate::log::VERSION;
use crate::wire::{Class, Header};

/// Nanoseconds in a millisecond.
pub(super) const NANOSECONDS_PER_MS: u64 = 1_000_000;

/// The tables that the numbers in records refer to, for one run of an aggregator.
#[derive(Clone, Debug, Default)]
pub struct RunTables {
    /// The aggregator's own name.
    pub aggregator: String,
    /// Classes by number.
    pub classes: Vec<RunClass>,
    /// Tenants by number.
    pub tenants: Vec<String>,
}

/// A class of requests during one run of an aggregator.
#[derive(Clone, Debug)]
pub struct RunClass {
    /// The class's name.
    pub name: String,
    /// The longest that a client waits over all its requests, in nanoseconds.
    pub client_timeout_ns: u64,
}

impl RunTables {
    /// The header of a segment; its published field names are mapped here.
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
