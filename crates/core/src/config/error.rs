//! Why a configuration can't be used. Each message is one line for the operator.

/// Why the platform's configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The field `settings` holds something else than an object.
    #[error("settings are no object")]
    SettingsNotAnObject,
    /// One of the settings is unusable.
    #[error(transparent)]
    Settings(#[from] PlatformSettingsError),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("bad seed '{seed}'")]
    InvalidSeed {
        /// The seed as given.
        seed: String,
    },
}

/// Why one of the settings is unusable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformSettingsError {
    /// A line holds no key and value.
    #[error("settings line without '=': {line}")]
    MalformedLine {
        /// The line as given.
        line: String,
    },
    /// A required setting is missing.
    #[error("setting {key} is missing")]
    Missing {
        /// The setting's key.
        key: String,
    },
    /// A list has too few items.
    #[error("setting {key} has no item {index}")]
    MissingItem {
        /// The setting's key.
        key: String,
        /// The item's index, from 0.
        index: usize,
    },
    /// A value is of the wrong type, or not one of those that are known.
    #[error("setting {key}: bad value '{value}'")]
    InvalidValue {
        /// The setting's key.
        key: String,
        /// The value as given.
        value: String,
    },
    /// A number is outside of its range.
    #[error("setting {key}: {value} is out of range")]
    OutOfRange {
        /// The setting's key.
        key: String,
        /// The number.
        value: String,
    },
    /// A class requires a second step, for which the protocol has no messages.
    #[error("setting {key}: a second step can't be served")]
    UnsupportedSecondStep {
        /// The setting's key.
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
