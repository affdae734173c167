//! Reload of the configuration, the settings and the certificate while the process runs.
//!
//! Each of the three is validated before it is applied. An invalid one is logged and the previous
//! one stays in force; the other two are still applied.

use crate::configuration;
use crate::files::Files;
use crate::logging::{Logging, LoggingError};
use crate::settings::{self, LogSettings, SettingsError, SCHEMA};
use aggregator_core::config::{Addresses, Config};
use ini_config::Settings;
use opensearch_gateway::tls::ReloadableTls;
use std::rc::Rc;

/// Why changed settings are not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// They are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Their log levels can't be applied.
    #[error(transparent)]
    Logging(#[from] LoggingError),
}

/// Applies changed files, and compares them with what the process was started with.
pub struct Reloader {
    /// The files to read.
    pub files: Files,
    /// The configuration at the start.
    pub config: Config,
    /// The settings at the start.
    pub settings: Settings,
    /// The logging whose levels follow the settings.
    pub logging: Logging,
    /// The certificate in use, if a frontend uses TLS.
    pub tls: Option<Rc<ReloadableTls>>,
}

impl Reloader {
    /// Reads all files and applies what can be changed without a restart. Returns the addresses to
    /// use from now on, or `None` if the configuration is invalid.
    pub fn reload(&self) -> Option<Addresses> {
        self.reload_settings();
        self.reload_certificate();
        self.reload_configuration()
    }

    fn reload_settings(&self) {
        match self.apply_settings() {
            Ok(settings) => {
                let changed = self.settings.needs_restart(&settings, &SCHEMA);
                warn_of_restart("settings", &changed.join(", "));
            }
            Err(error) => tracing::error!("the settings stay as they were: {error}"),
        }
    }

    fn apply_settings(&self) -> Result<Settings, ReloadError> {
        let settings = settings::read(self.files.settings.as_deref())?;
        self.logging.reload(LogSettings::read(&settings)?)?;
        Ok(settings)
    }

    fn reload_certificate(&self) {
        let Some(tls) = &self.tls else {
            return;
        };
        match tls.reload() {
            Ok(()) => tracing::info!("certificate and key read again"),
            Err(error) => tracing::error!("the certificate stays as it was: {error}"),
        }
    }

    fn reload_configuration(&self) -> Option<Addresses> {
        match configuration::read(self.files.config.as_deref()?) {
            Ok(config) => {
                let changed = self.config.needs_restart(&config);
                warn_of_restart("configuration", &changed.join(", "));
                let discovery = config.addresses.discovery;
                tracing::info!(%discovery, "configuration read again");
                Some(config.addresses)
            }
            Err(error) => {
                tracing::error!("the configuration stays as it was: {error}");
                None
            }
        }
    }
}

/// Logs the changed keys that only a restart applies, if there are any.
fn warn_of_restart(file: &str, changed: &str) {
    if !changed.is_empty() {
        tracing::warn!(
            restart = changed,
            "changed in the {file}, but only a restart takes it up"
        );
    }
}
