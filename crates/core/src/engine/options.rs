//! What an engine starts with.

use crate::api::PolicySettings;
use crate::config::AggregatorSettings;
use crate::protocol::discovery::EndpointUpdate;

/// What an engine starts with.
#[derive(Debug)]
pub struct EngineOptions {
    /// The settings of the engine itself.
    pub settings: AggregatorSettings,
    /// The settings of the policy.
    pub policy_settings: PolicySettings,
    /// The seed of the policy's random numbers.
    pub policy_seed: u64,
    /// The endpoint list as it was last received, which may be stale.
    pub cached_endpoints: EndpointUpdate,
    /// The file descriptors that the process may use.
    pub max_descriptors: usize,
}
