//! Why an aggregator could not start or serve.

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
    /// Logging can't be started.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// A frontend can't be opened.
    #[error(transparent)]
    Frontend(#[from] FrontendError),
    /// The asynchronous runtime can't be started.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers can't be installed.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// The usage log can't be opened.
    #[error("usage log: {0}")]
    UsageLog(#[source] usage_ledger::writer::StartError),
    /// The address for clients can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The address for gossip messages can't be bound.
    #[error("cannot listen for other mixers: {0}")]
    Gossip(#[source] io::Error),
}

impl ServeError {
    /// Who has to act on the error.
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
