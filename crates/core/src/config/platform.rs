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

/// The most file descriptors of one aggregator, also where the configuration allows more.
const MAX_DESCRIPTORS: usize = 1024;

/// The file as the platform writes it; the names of the fields are the platform's.
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
}

/// Everything that an aggregator is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this aggregator.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The settings beyond the policy's.
    pub aggregator_settings: AggregatorSettings,
    /// The policy's settings.
    pub policy_settings: PolicySettings,
    /// The seed of the policy's random numbers.
    pub seed: u64,
    /// The most file descriptors that may be open.
    pub max_descriptors: usize,
    /// The endpoint list to start with.
    pub initial_endpoints: EndpointUpdate,
    /// The addresses of the other processes.
    pub addresses: Addresses,
    /// The names that requests refer to.
    pub names: NameTables,
}

impl Config {
    /// Parses and checks the text of a configuration file.
    ///
    /// # Errors
    ///
    /// The text is no JSON of the expected form, or one of its settings or addresses can't be used.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let settings_text = flatten_settings(&file.settings)?;
        let policy_settings = parse_policy_settings(&settings_text)?;
        let aggregator_settings = parse_aggregator_settings(&settings_text)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::InvalidSeed {
            seed: file.seed.clone(),
        })?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            seed,
            max_descriptors: file.limits.map_or(MAX_DESCRIPTORS, |limits| {
                limits.sockets.min(MAX_DESCRIPTORS)
            }),
            initial_endpoints: file.known,
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

    /// The fields in which `next` differs and that only a restart can change.
    pub fn needs_restart(&self, next: &Config) -> Vec<&'static str> {
        let mut changed = Vec::new();
        if self.name != next.name {
            changed.push("name");
        }
        if self.listen != next.listen {
            changed.push("listen");
        }
        if self.max_descriptors != next.max_descriptors {
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
