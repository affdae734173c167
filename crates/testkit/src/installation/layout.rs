//! The zones, query classes, tenants and shards of every installation.

use std::time::Duration;

/// The zones, each with leaf servers and one aggregator.
pub const ZONES: [&str; 3] = ["colombo-north", "colombo-south", "kandy"];

/// The tenants that clients query for.
pub const TENANTS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];

/// Number of shards.
pub const SHARDS: u32 = 16;

/// Leaf servers of a zone, each in a replica group of its own.
pub const REPLICA_GROUPS: usize = 4;

/// The query classes.
pub const CLASSES: [InstallationClass; 3] = [
    InstallationClass {
        name: "preview-lookup",
        latency_objective_ms: 150,
        timeout_ms: 900,
        minimum_coverage: 1.0,
    },
    InstallationClass {
        name: "chart-ranking",
        latency_objective_ms: 250,
        timeout_ms: 1200,
        minimum_coverage: 0.6,
    },
    InstallationClass {
        name: "catalogue-report",
        latency_objective_ms: 500,
        timeout_ms: 1500,
        minimum_coverage: 0.6,
    },
];

/// A class of queries with the same requirements.
#[derive(Clone, Copy, Debug)]
pub struct InstallationClass {
    /// The name of the class, also of its index.
    pub name: &'static str,
    /// The latency objective in milliseconds.
    pub latency_objective_ms: u64,
    /// The client timeout in milliseconds.
    pub timeout_ms: u64,
    /// The least share of the shards' weight that a partial answer covers.
    pub minimum_coverage: f64,
}

impl InstallationClass {
    /// The client timeout.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
