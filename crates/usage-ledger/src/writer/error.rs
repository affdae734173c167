//! Errors of starting a writer and of writing to a usage log.

use crate::collect::ListenError;
use std::io;
use std::path::PathBuf;

/// An error that prevents a writer from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The directory can't be created, read or written.
    #[error("cannot use directory {}: {source}", .directory.display())]
    Directory {
        /// Directory of the log.
        directory: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process has locked the log.
    #[error("{}: the usage log is locked by another process", .directory.display())]
    Locked {
        /// Directory of the log.
        directory: PathBuf,
    },
    /// The writer thread can't be started.
    #[error("cannot start the writer thread: {0}")]
    Thread(#[source] io::Error),
    /// The collection service for the log can't be started.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// An error that prevents records from being written.
#[derive(Debug, thiserror::Error)]
pub(super) enum AppendError {
    /// No write was attempted, because the last batch was lost less than the retry interval ago.
    #[error("no write attempted: the retry interval after a failed write is not over")]
    Backoff,
    /// Another segment would exceed the size limit of the log (`usage.keep` in the settings).
    #[error("the log has reached its size limit (usage.keep), and no segment has been settled")]
    CapacityExceeded,
    /// A write failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}
