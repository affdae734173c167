//! Errors of the `ledger` commands.

use crate::cli::output::OutputError;
use crate::error::ErrorClass;
use crate::logging::LoggingError;
use crate::settings::SettingsError;
use std::io;
use std::path::PathBuf;
use usage_ledger::export::DeliveryError;
use usage_ledger::store;

/// An error of a `ledger` command.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings name no store.
    #[error("no store: [settlement] store has to name it in the settings (--settings FILE)")]
    StoreNotNamed,
    /// The settings name no destination for documents.
    #[error("[export] names neither a folder nor a url")]
    NoExportTarget,

    /// An argument is not a time.
    #[error("'{0}' is no time, as in 2026-12-01T00:00:00Z")]
    InvalidTime(String),
    /// An argument is a time at which no period begins.
    #[error("no period begins at {time}; the one that holds it begins at {start}")]
    NotAPeriodStart {
        /// The argument.
        time: String,
        /// The start of the period that contains it.
        start: String,
    },
    /// The argument of `--within` is not a duration.
    #[error("--within {text}: {reason}")]
    InvalidWithin {
        /// The argument.
        text: String,
        /// Why it is invalid.
        reason: String,
    },
    /// The argument of `--counters` is not of the form `NAME=FILE`.
    #[error("'{0}' is not NAME=FILE")]
    InvalidCounters(String),
    /// There are neither clients' records nor counters to compare with.
    #[error("there is nothing to reconcile with: --clients FILE or --counters NAME=FILE")]
    NothingToReconcile,

    /// The store does not exist.
    #[error("there is no store at {}: has 'ledger serve' ever run?", .0.display())]
    StoreMissing(PathBuf),
    /// The store can't be opened.
    #[error("{}: {source}", path.display())]
    StoreUnusable {
        /// The store's file.
        path: PathBuf,
        /// Why it can't be opened.
        source: store::StoreError,
    },
    /// The store can't be read or written.
    #[error(transparent)]
    Store(#[from] store::StoreError),
    /// No statement matches.
    #[error("there is no such statement: see 'query-aggregator ledger periods'")]
    NoSuchStatement,
    /// A receiver has not acknowledged a document in time.
    #[error("document {document} is not acknowledged: {source}")]
    NotAcknowledged {
        /// The document's id.
        document: String,
        /// How the last attempt failed.
        source: DeliveryError,
    },

    /// A file or folder can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A file is not CSV with the expected columns.
    #[error("{}: {source}", path.display())]
    InvalidCsv {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: csv::Error,
    },
    /// A file is not JSON.
    #[error("{}: {source}", path.display())]
    InvalidJson {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },

    /// The ledger differs from the clients' records or from counters.
    #[error("{0} differences")]
    Differences(usize),
    /// Verification has found faults.
    #[error("{0} things are wrong")]
    Faults(usize),

    /// Logging can't be started.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// The asynchronous runtime or its signal handlers can't be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// The output can't be written.
    #[error(transparent)]
    Output(#[from] OutputError),
}

impl LedgerError {
    /// The class of the error, which decides on the exit code.
    pub fn class(&self) -> ErrorClass {
        match self {
            LedgerError::Settings(_) | LedgerError::StoreNotNamed | LedgerError::NoExportTarget => {
                ErrorClass::Configuration
            }
            LedgerError::InvalidTime(_)
            | LedgerError::NotAPeriodStart { .. }
            | LedgerError::InvalidWithin { .. }
            | LedgerError::InvalidCounters(_)
            | LedgerError::NothingToReconcile => ErrorClass::Usage,
            _ => ErrorClass::Runtime,
        }
    }
}
