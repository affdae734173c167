//! Errors of subcommands.

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
    /// The aggregator could not start or serve.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A `ledger` command failed.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// The output cannot be written.
    #[error(transparent)]
    Output(#[from] OutputError),
}

impl CommandError {
    /// Returns the class of the error.
    pub fn class(&self) -> ErrorClass {
        match self {
            CommandError::Configuration(_) | CommandError::Settings(_) => ErrorClass::Configuration,
            CommandError::Serve(error) => error.class(),
            CommandError::Ledger(error) => error.class(),
            CommandError::Output(_) => ErrorClass::Runtime,
        }
    }

    /// Returns the message on a single line, as operators and their log collectors expect.
    pub fn one_line(&self) -> String {
        self.to_string().trim().replace('\n', " ")
    }
}
