//! Reload of the configuration, the settings and the certificate while the process runs.
//!
//! Each of the three is validated before it is applied. If one is invalid, an error is logged and
//! the previous one stays in force, while the other two are still applied.

use crate::configuration;
use crate::files::Files;
use crate::logging::{Logging, LoggingError};
use crate::settings::{self, LogSettings, SettingsError, SCHEMA};
use aggregator_core::config::{Addresses, Config};
use ini_config::Settings;
use opensearch_gateway::tls::ReloadableTls;
use std::rc::Rc;

/// Why changed settings could not be applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The log levels cannot be applied.
    #[error(transparent)]
    Logging(#[from] LoggingError),
}

/// Applies changed files, and compares them with the files at the start of the process.
pub struct Reloader {
    /// Files to read on each reload.
    pub files: Files,
    /// Configuration at the start of the process.
    pub config: Config,
    /// Settings at the start of the process.
    pub settings: Settings,
    /// Logging, whose levels are set from the settings.
    pub logging: Logging,
    /// Certificate in use; `None` if no frontend uses TLS.
    pub tls: Option<Rc<ReloadableTls>>,
}

impl Reloader {
    /// Reads all files and applies the values that can be changed without a restart. Returns the
    /// addresses of other processes, or `None` if the configuration is invalid.
    pub fn reload(&self) -> Option<Addresses> {
        self.reload_settings();
        self.reload_certificate();
        self.reload_configuration()
    }

    fn reload_settings(&self) {
        match self.apply_settings() {
            Ok(settings) => {
                let changed = self.settings.keys_requiring_restart(&settings, &SCHEMA);
                warn_if_restart_needed("settings", &changed.join(", "));
            }
            Err(error) => {
                tracing::error!("settings not reloaded, previous settings stay in force: {error}");
            }
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
            Ok(()) => tracing::info!("certificate and key reloaded"),
            Err(error) => tracing::error!(
                "certificate not reloaded, previous certificate stays in force: {error}"
            ),
        }
    }

    fn reload_configuration(&self) -> Option<Addresses> {
        match configuration::read(self.files.config.as_deref()?) {
            Ok(config) => {
                let changed = self.config.fields_requiring_restart(&config);
                warn_if_restart_needed("configuration", &changed.join(", "));
                let discovery = config.addresses.discovery;
                tracing::info!(%discovery, "configuration reloaded");
                Some(config.addresses)
            }
            Err(error) => {
                tracing::error!(
                    "configuration not reloaded, previous configuration stays in force: {error}"
                );
                None
            }
        }
    }
}

/// Logs a warning if changed keys take effect only after a restart.
fn warn_if_restart_needed(file: &str, changed: &str) {
    if !changed.is_empty() {
        tracing::warn!(
            restart = changed,
            "changes in the {file} take effect only after a restart"
        );
    }
}
