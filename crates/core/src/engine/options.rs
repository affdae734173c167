//! The options of a new engine.

use crate::api::PolicySettings;
use crate::config::AggregatorSettings;
use crate::protocol::discovery::EndpointUpdate;

/// Options of a new [`Engine`](super::Engine).
#[derive(Debug)]
pub struct EngineOptions {
    /// Settings that do not belong to the policy.
    pub settings: AggregatorSettings,
    /// Settings of the policy, which stay the same until the process ends.
    pub policy_settings: PolicySettings,
    /// Seed of the policy's random number generator.
    pub policy_seed: u64,
    /// Endpoint list that was received last, which is used until discovery sends an update. It may
    /// be stale.
    pub cached_endpoints: EndpointUpdate,
    /// Maximum number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// Memory over which the platform kills the process, in bytes.
    pub memory_limit: u64,
}
