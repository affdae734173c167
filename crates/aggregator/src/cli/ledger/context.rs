//! The settings and the store that the `ledger` commands use.

use super::LedgerError;
use crate::files::Files;
use crate::settings::{self, SettingsError, SCHEMA};
use ini_config::Settings;
use std::path::PathBuf;
use usage_ledger::period::Period;
use usage_ledger::settings::LedgerSettings;
use usage_ledger::store::Store;

/// Settings of the ledger, and the path of its store.
pub struct LedgerContext {
    /// Settings from the settings file.
    pub settings: LedgerSettings,
    /// Path of the SQLite file.
    pub store_path: PathBuf,
}

/// Reads the ledger's sections of the settings.
pub fn read_ledger_settings(settings: &Settings) -> Result<LedgerSettings, SettingsError> {
    Ok(LedgerSettings::read(settings, &SCHEMA)?)
}

impl LedgerContext {
    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be read, are invalid, or name no store.
    pub fn open(files: &Files) -> Result<LedgerContext, LedgerError> {
        let settings = settings::read(files.settings.as_deref())?;
        LedgerContext::new(read_ledger_settings(&settings)?)
    }

    /// Creates a context from settings that were read before.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings name no store.
    pub fn new(settings: LedgerSettings) -> Result<LedgerContext, LedgerError> {
        let store_path = settings
            .store_path
            .clone()
            .ok_or(LedgerError::StoreNotNamed)?;
        Ok(LedgerContext {
            settings,
            store_path,
        })
    }

    /// Opens the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be opened or does not exist. It is not created here,
    /// because commands that only read must not create a store.
    pub fn existing_store(&self) -> Result<Store, LedgerError> {
        if !self.store_path.exists() {
            return Err(LedgerError::StoreMissing(self.store_path.clone()));
        }
        Store::open(&self.store_path).map_err(|source| LedgerError::StoreUnusable {
            path: self.store_path.clone(),
            source,
        })
    }

    /// Returns the period that begins at `time`, which has the form that `ledger periods` prints.
    ///
    /// # Errors
    ///
    /// Returns an error if `time` cannot be parsed, no period begins at `time`, or the store cannot
    /// be read.
    pub fn period_starting_at(&self, store: &Store, time: &str) -> Result<Period, LedgerError> {
        let timestamp: jiff::Timestamp = time
            .parse()
            .map_err(|_| LedgerError::InvalidTime(time.into()))?;
        let start_ms = timestamp.as_millisecond();
        let mut stored_periods = store.periods()?.into_iter().map(|closed| closed.period);
        let period = stored_periods
            .find(|period| period.start_ms == start_ms)
            .unwrap_or_else(|| self.settings.calendar.period_at(start_ms));
        if period.start_ms != start_ms {
            return Err(LedgerError::NotAPeriodStart {
                time: time.into(),
                start: period.name(),
            });
        }
        Ok(period)
    }
}
