//! Why the proof can't be made.

use aggregator_testkit::installation::InstallationError;

/// Why the proof can't be made.
#[derive(Debug, thiserror::Error)]
pub enum ProofError {
    /// The installation fails.
    #[error(transparent)]
    Installation(#[from] InstallationError),
    /// A client's task panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// A file or a process can't be had.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
