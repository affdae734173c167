//! Configuration of an aggregator: one JSON file, written by the platform.
//!
//! The settings in the file are flattened to lines of `key=value`. The simulator sends its settings
//! in the same format, so one parser serves both. The lines are parsed into two types: the settings
//! of the policy, and those of the rest of the aggregator.

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
pub use platform::{Config, BYTES_PER_MB};
pub use policy_settings::parse_policy_settings;
