//! Errors of opening and writing a usage log.

use crate::collect::ListenError;
use std::io;
use std::path::PathBuf;

/// Why a writer could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The directory can't be used.
    #[error("{}: {source}", .directory.display())]
    Directory {
        /// The log's directory.
        directory: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// Another process has locked the log.
    #[error("{}: another mixer writes this log", .directory.display())]
    Locked {
        /// The log's directory.
        directory: PathBuf,
    },
    /// The writer's thread can't be started.
    #[error("{0}")]
    Thread(#[source] io::Error),
    /// The log can't be offered for collection.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Why records could not be written.
#[derive(Debug, thiserror::Error)]
pub(super) enum AppendError {
    /// The last write failed less than the retry interval ago.
    #[error("it could not be a moment ago")]
    Backoff,
    /// One more segment would exceed the size limit of the settings (`usage.keep`).
    #[error("it holds as much as it may; nothing of it has been settled")]
    CapacityExceeded,
    /// A write failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}
