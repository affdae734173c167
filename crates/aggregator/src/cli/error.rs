//! Why a subcommand failed.

use super::ledger::LedgerError;
use super::output::OutputError;
use crate::configuration::ConfigurationError;
use crate::error::ErrorClass;
use crate::process::ServeError;
use crate::settings::SettingsError;

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The aggregator can't start or serve.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A command on the ledger failed.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// The output can't be written.
    #[error(transparent)]
    Output(#[from] OutputError),
}

impl CommandError {
    /// Who has to act on the error.
    pub fn class(&self) -> ErrorClass {
        match self {
            CommandError::Configuration(_) | CommandError::Settings(_) => ErrorClass::Configuration,
            CommandError::Serve(error) => error.class(),
            CommandError::Ledger(error) => error.class(),
            CommandError::Output(_) => ErrorClass::Runtime,
        }
    }

    /// The message on a single line, as operators and their log collectors expect it.
    pub fn one_line(&self) -> String {
        self.to_string().trim().replace('\n', " ")
    }
}
