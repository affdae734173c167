//! The former paths of the settings' parsers, until their users have moved to [`crate::config`].

use crate::api::Settings;
use crate::config::{parse_aggregator_settings, parse_policy_settings, SettingsError};

pub use crate::config::AggregatorSettings as Site;

/// Parses the policy's settings.
pub fn parse(text: &str) -> Result<Settings, String> {
    parse_policy_settings(text).map_err(|error| error.to_string())
}

/// Parses the settings beyond the policy's.
pub fn site(text: &str) -> Result<Site, SettingsError> {
    parse_aggregator_settings(text)
}
