//! State that all decisions read and only [`Policy`](super::Policy) changes.

use super::fleet_latency::FleetLatency;
use crate::api::{Nanos, PolicySettings, QueryClass};
use crate::state::KnownReplicas;

/// The current time, the settings, and the replicas with their latency.
#[derive(Debug)]
pub struct Context {
    /// Time of the current batch; 0 before the first one.
    pub now: Nanos,
    /// Settings of the deployment, which do not change.
    pub settings: PolicySettings,
    /// Shortest latency objective of all classes, ns.
    pub shortest_objective: f64,
    /// Replicas on the endpoint list, and removed ones that are still tracked.
    pub replicas: KnownReplicas,
    /// Latency statistics over all replicas.
    pub latency: FleetLatency,
}

impl Context {
    /// Creates the context of a policy that has not handled any batch.
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

    /// Returns the class with this index. Panics if there is none.
    pub fn class(&self, index: usize) -> &QueryClass {
        &self.settings.classes[index]
    }
}
