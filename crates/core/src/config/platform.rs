//! The platform's configuration file.

use super::flatten::flatten_settings;
use super::{
    parse_aggregator_settings, parse_policy_settings, Addresses, AggregatorSettings, ConfigError,
};
use crate::api::PolicySettings;
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::query::NameTables;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum number of file descriptors of one aggregator, even if the configuration allows more.
const MAX_DESCRIPTORS: usize = 1024;

/// Memory limit in MB if the configuration states none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Number of bytes of a MB in the configuration.
pub const BYTES_PER_MB: u64 = 1024 * 1024;

/// The file as the platform writes it, with the platform's names for the fields.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Option<Limits>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: EndpointUpdate,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<u64>,
}

/// Configuration with which an aggregator is started.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this aggregator.
    pub name: String,
    /// Address that clients of the native protocol connect to.
    pub listen: SocketAddr,
    /// Settings that do not belong to the policy.
    pub aggregator_settings: AggregatorSettings,
    /// Settings of the policy.
    pub policy_settings: PolicySettings,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Memory over which the platform kills the process, in bytes.
    pub memory_limit: u64,
    /// Endpoint list that was received last, according to the configuration file. It is used until
    /// discovery sends an update, and may be stale.
    pub cached_endpoints: EndpointUpdate,
    /// Addresses of the other processes.
    pub addresses: Addresses,
    /// Names that requests refer to, and the limits of a query.
    pub names: NameTables,
}

impl Config {
    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON with the expected fields, or if the seed, a setting
    /// or an address is invalid.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let settings_text = flatten_settings(&file.settings)?;
        let policy_settings = parse_policy_settings(&settings_text)?;
        let aggregator_settings = parse_aggregator_settings(&settings_text)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::InvalidSeed {
            seed: file.seed.clone(),
        })?;
        let memory_mb = file.limits.as_ref().and_then(|limits| limits.memory_mb);
        Ok(Config {
            memory_limit: memory_mb
                .unwrap_or(DEFAULT_MEMORY_MB)
                .saturating_mul(BYTES_PER_MB),
            name: file.name,
            listen: file.listen,
            seed,
            max_descriptors: file.limits.map_or(MAX_DESCRIPTORS, |limits| {
                limits.sockets.min(MAX_DESCRIPTORS)
            }),
            cached_endpoints: file.known,
            addresses: Addresses {
                discovery: file.discovery,
                gossip_listen: file
                    .peer_listen
                    .filter(|_| aggregator_settings.gossip_allowed),
                peers: file.peers,
                gossip_broadcast: file.peers_all,
            },
            names: NameTables::from(&aggregator_settings),
            aggregator_settings,
            policy_settings,
        })
    }

    /// Returns the names of the fields that differ in `next` and that only a restart can change.
    pub fn fields_requiring_restart(&self, next: &Config) -> Vec<&'static str> {
        let mut changed = Vec::new();
        if self.name != next.name {
            changed.push("name");
        }
        if self.listen != next.listen {
            changed.push("listen");
        }
        if self.max_descriptors != next.max_descriptors || self.memory_limit != next.memory_limit {
            changed.push("limits");
        }
        if self.addresses.gossip_listen != next.addresses.gossip_listen {
            changed.push("peer_listen");
        }
        if self.aggregator_settings != next.aggregator_settings
            || self.policy_settings != next.policy_settings
        {
            changed.push("settings");
        }
        changed
    }
}

impl From<&AggregatorSettings> for NameTables {
    fn from(settings: &AggregatorSettings) -> NameTables {
        NameTables {
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            deadlines: settings.deadlines.clone(),
            minimum_coverages: settings.minimum_coverages.clone(),
            shards: settings.shards,
        }
    }
}
