//! The configuration of an aggregator: one JSON file of the platform, whose settings are flattened
//! to the text that also the simulator sends, so that one parser serves both. The settings come in
//! two types: what the policy decides by, and what the rest of the aggregator has to know.

mod aggregator_settings;
mod error;
mod flatten;
mod key_values;
mod platform;
mod policy_settings;

pub use aggregator_settings::{parse_aggregator_settings, AggregatorSettings};
pub use error::{ConfigError, PlatformSettingsError};
pub use platform::Config;
pub use policy_settings::parse_policy_settings;
