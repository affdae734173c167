//! Errors in a configuration. Each message is a single line for the operator.

/// Why the platform's configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON with the expected fields.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The field `settings` is not a JSON object.
    #[error("'settings' is not a JSON object")]
    SettingsNotAnObject,
    /// One of the settings is invalid.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed '{seed}' is not a hexadecimal number of 64 bits")]
    InvalidSeed {
        /// Seed as given.
        seed: String,
    },
}

/// Why one of the settings is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformSettingsError {
    /// A line is not of the form `key=value`.
    #[error("settings line '{line}' has no '='")]
    MalformedLine {
        /// Line as given.
        line: String,
    },
    /// A required setting is missing.
    #[error("setting {key} is missing")]
    Missing {
        /// Key of the setting.
        key: String,
    },
    /// A list has too few items.
    #[error("setting {key} has no item {index}")]
    MissingItem {
        /// Key of the setting.
        key: String,
        /// Index of the missing item, from 0.
        index: usize,
    },
    /// A value is of the wrong type, or not one of the known values.
    #[error("setting {key}: invalid value '{value}'")]
    InvalidValue {
        /// Key of the setting.
        key: String,
        /// Value as given.
        value: String,
    },
    /// A number is outside its range.
    #[error("setting {key}: {value} is out of range")]
    OutOfRange {
        /// Key of the setting.
        key: String,
        /// The number that is out of range.
        value: String,
    },
    /// A class requires a second step, for which the protocol has no messages.
    #[error("setting {key}: second steps are not supported")]
    UnsupportedSecondStep {
        /// Key of the setting.
        key: &'static str,
    },
}

impl PlatformSettingsError {
    pub(super) fn missing(key: &str) -> PlatformSettingsError {
        PlatformSettingsError::Missing { key: key.into() }
    }

    pub(super) fn invalid_value(key: &str, value: &str) -> PlatformSettingsError {
        PlatformSettingsError::InvalidValue {
            key: key.into(),
            value: value.into(),
        }
    }

    pub(super) fn out_of_range(key: &str, value: impl ToString) -> PlatformSettingsError {
        PlatformSettingsError::OutOfRange {
            key: key.into(),
            value: value.to_string(),
        }
    }
}
