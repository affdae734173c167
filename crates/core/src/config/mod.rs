//! The configuration of an aggregator: one JSON file of the platform. Its settings are flattened to
//! the text that the simulator sends too, so that one parser serves both. They are parsed into two
//! types: the settings of the policy, and those of the rest of the aggregator.

mod addresses;
mod aggregator_settings;
mod error;
mod flatten;
mod key_values;
mod platform;
mod policy_settings;

pub use addresses::Addresses;
pub use aggregator_settings::{parse_aggregator_settings, AggregatorSettings};
pub use error::{ConfigError, PlatformSettingsError};
pub use platform::Config;
pub use policy_settings::parse_policy_settings;
