//! Configuration of one aggregator: a JSON file, written by the platform.

use aggregator_core::config::Config;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// Why no configuration could be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration: name the file with --config or BALANCER_CONFIG")]
    NotNamed,
    /// The file cannot be read.
    #[error("cannot read configuration file {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Why the file cannot be read.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("invalid configuration file {}: {source}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Why the content is invalid.
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
