//! Errors that prevent an aggregator from starting or serving.

use crate::configuration::ConfigurationError;
use crate::error::ErrorClass;
use crate::frontends::FrontendError;
use crate::logging::LoggingError;
use crate::settings::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Why an aggregator could not start or serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Logging cannot be started.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// A frontend cannot be opened.
    #[error(transparent)]
    Frontend(#[from] FrontendError),
    /// The asynchronous runtime cannot be started.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The usage log cannot be opened.
    #[error("cannot open the usage log: {0}")]
    UsageLog(#[source] usage_ledger::writer::StartError),
    /// The address for clients cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that the configuration names.
        address: SocketAddr,
        /// Why the address cannot be bound.
        source: io::Error,
    },
    /// The address for gossip messages cannot be bound.
    #[error("cannot listen for messages of other mixers: {0}")]
    Gossip(#[source] io::Error),
}

impl ServeError {
    /// Returns the class of the error.
    pub fn class(&self) -> ErrorClass {
        match self {
            ServeError::Configuration(_) | ServeError::Settings(_) => ErrorClass::Configuration,
            ServeError::Frontend(error) => error.class(),
            ServeError::Logging(_)
            | ServeError::Runtime(_)
            | ServeError::Signals(_)
            | ServeError::UsageLog(_)
            | ServeError::Listen { .. }
            | ServeError::Gossip(_) => ErrorClass::Runtime,
        }
    }
}
