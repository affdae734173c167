//! The platform's configuration of one aggregator: a JSON file.

use aggregator_core::config::Config;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// Why there is no valid configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration: --config or BALANCER_CONFIG has to name it")]
    NotNamed,
    /// The file can't be read.
    #[error("cannot read the configuration {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with its content.
        source: Box<dyn Error + Send + Sync>,
    },
}

/// Reads and validates the configuration.
pub fn read(path: &Path) -> Result<Config, ConfigurationError> {
    let text = std::fs::read_to_string(path).map_err(|source| ConfigurationError::Unreadable {
        path: path.into(),
        source,
    })?;
    Config::parse(&text).map_err(|error| ConfigurationError::Invalid {
        path: path.into(),
        source: error.into(),
    })
}
