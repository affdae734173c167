//! Zones, query classes, tenants and shards of every installation.

use std::time::Duration;

/// Names of the zones; each has one aggregator and [`REPLICA_GROUPS`] leaf servers.
pub const ZONES: [&str; 3] = ["colombo-north", "colombo-south", "kandy"];

/// Names of the tenants.
pub const TENANTS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];

/// Number of shards; shards are numbered from 0.
pub const SHARDS: u32 = 16;

/// Number of replica groups; each zone has one leaf server in every group.
pub const REPLICA_GROUPS: usize = 4;

/// Query classes, also the indices of the OpenSearch gateway.
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

/// Query class: queries with the same requirements.
#[derive(Clone, Copy, Debug)]
pub struct InstallationClass {
    /// Name of the class and of its index.
    pub name: &'static str,
    /// Latency objective in milliseconds.
    pub latency_objective_ms: u64,
    /// Client timeout in milliseconds.
    pub timeout_ms: u64,
    /// Share of the shards' total weight that a partial answer must cover, from 0 to 1.
    pub minimum_coverage: f64,
}

impl InstallationClass {
    /// Returns the client timeout as a `Duration`.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
