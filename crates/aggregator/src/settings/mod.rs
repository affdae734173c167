//! Settings of the operator: one INI file for logging, the usage log, the ledger and the frontends.

mod log;

pub use log::{LogFormat, LogSettings};

use ini_config::{Problems, Schema, Settings};
use opensearch_gateway::settings as gateway;
use std::io;
use std::path::{Path, PathBuf};
use usage_ledger::settings as ledger;

/// Schema with all sections that the file may have.
pub const SCHEMA: Schema = Schema(&[
    log::SECTION,
    ledger::USAGE,
    ledger::SETTLEMENT,
    ledger::PERIODS,
    ledger::MEMBER,
    ledger::PRICE,
    ledger::TENANT,
    ledger::EXPORT,
    gateway::GATEWAY_SECTION,
    gateway::INDEX_SECTION,
    gateway::NETWORK_SECTION,
]);

/// Why no settings could be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings file {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Why the file cannot be read.
        source: io::Error,
    },
    /// The file does not follow the schema, or its values contradict each other.
    #[error(transparent)]
    Invalid(#[from] Problems),
}

/// Reads the settings from a file. Returns the defaults if no file is named.
pub fn read(path: Option<&Path>) -> Result<Settings, SettingsError> {
    let Some(path) = path else {
        return Ok(Settings::defaults());
    };
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.into(),
        source,
    })?;
    let file_name = path.display().to_string();
    Ok(Settings::read(&SCHEMA, &file_name, &text)?)
}
