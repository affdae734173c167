//! Errors of the `ledger` commands.

use crate::cli::output::OutputError;
use crate::error::ErrorClass;
use crate::logging::LoggingError;
use crate::settings::SettingsError;
use std::io;
use std::path::PathBuf;
use usage_ledger::export::DeliveryError;
use usage_ledger::store;

/// Why a `ledger` command failed.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The settings cannot be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings name no store.
    #[error("no store configured: set [settlement] store in the settings file (--settings FILE)")]
    StoreNotNamed,
    /// The settings contain no destination for documents.
    #[error("no destination for documents configured: set [export] folder or [export] url")]
    NoExportTarget,

    /// An argument is not a time.
    #[error("'{0}' is not a time; expected a form such as 2026-12-01T00:00:00Z")]
    InvalidTime(String),
    /// An argument is a time at which no period begins.
    #[error("no period begins at {time}; the period that contains this time begins at {start}")]
    NotAPeriodStart {
        /// Time that was given.
        time: String,
        /// Start of the period that contains `time`.
        start: String,
    },
    /// The argument of `--within` is not a duration.
    #[error("--within {text}: {reason}")]
    InvalidWithin {
        /// Text of the argument.
        text: String,
        /// Problem with the argument.
        reason: String,
    },
    /// The argument of `--counters` is not of the form `NAME=FILE`.
    #[error("--counters '{0}': expected NAME=FILE")]
    InvalidCounters(String),
    /// Neither records of clients nor counters were given.
    #[error("nothing to reconcile with: expected --clients FILE or --counters NAME=FILE")]
    NothingToReconcile,

    /// The store does not exist.
    #[error("store {} does not exist; 'ledger serve' creates it", .0.display())]
    StoreMissing(PathBuf),
    /// The store cannot be opened.
    #[error("cannot open store {}: {source}", path.display())]
    StoreUnusable {
        /// Path of the SQLite file.
        path: PathBuf,
        /// Error of the store.
        source: store::StoreError,
    },
    /// The store cannot be read or written.
    #[error(transparent)]
    Store(#[from] store::StoreError),
    /// No period has been closed yet, or the given period has no statement.
    #[error("no such statement; 'query-aggregator ledger periods' lists all closed periods")]
    NoSuchStatement,
    /// A document was not delivered to all destinations within the time limit.
    #[error("document {document} was not acknowledged in time: {source}")]
    NotAcknowledged {
        /// Id of the document.
        document: String,
        /// Error of the last attempt.
        source: DeliveryError,
    },

    /// A file or folder cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file cannot be read, or is not CSV with the expected columns.
    #[error("cannot read {} as CSV: {source}", path.display())]
    InvalidCsv {
        /// Path of the file.
        path: PathBuf,
        /// Error of the CSV reader.
        source: csv::Error,
    },
    /// A file is not JSON.
    #[error("cannot parse {} as JSON: {source}", path.display())]
    InvalidJson {
        /// Path of the file.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },

    /// The ledger differs from the records of clients or from counters. Contains the number of
    /// differences.
    #[error("reconciliation found {0} differences")]
    Differences(usize),
    /// Verification found faults. Contains the number of faults.
    #[error("verification found {0} faults")]
    Faults(usize),

    /// Logging cannot be started.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// The asynchronous runtime or its signal handlers cannot be started.
    #[error(transparent)]
    Runtime(io::Error),
    /// The output cannot be written.
    #[error(transparent)]
    Output(#[from] OutputError),
}

impl LedgerError {
    /// Returns the class of the error, which determines the exit code.
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
