//! What every decision may read. Only [`Policy`](super::Policy) changes it.

use super::fleet_latency::FleetLatency;
use crate::api::{Nanos, PolicySettings, QueryClass};
use crate::state::KnownReplicas;

/// The time, the settings, and the replicas with their latency.
#[derive(Debug)]
pub struct Context {
    /// The time of the running batch.
    pub now: Nanos,
    /// What the operator has stated.
    pub settings: PolicySettings,
    /// The shortest latency objective of a class, ns.
    pub shortest_objective: f64,
    /// The replicas.
    pub replicas: KnownReplicas,
    /// Latency over all replicas.
    pub latency: FleetLatency,
}

impl Context {
    /// The context before the first batch.
    pub fn new(settings: PolicySettings) -> Context {
        let shortest_objective = settings.shortest_objective() as f64;
        Context {
            now: 0,
            settings,
            shortest_objective,
            replicas: KnownReplicas::default(),
            latency: FleetLatency::new(shortest_objective),
        }
    }

    /// A class by its index.
    pub fn class(&self, index: usize) -> &QueryClass {
        &self.settings.classes[index]
    }
}
