//! What the `prove-*` programs begin and end with alike.

use crate::cli;
use crate::installation::InstallationError;
use std::future::Future;
use std::process::ExitCode;

const WORKER_THREADS: usize = 3;

/// Why a proof can't be made to its end.
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

/// Runs a proof, whose value says whether all holds, and prints why if it can't be made.
pub fn run(proof: impl Future<Output = Result<bool, ProofError>>) -> ExitCode {
    let result = cli::block_on(WORKER_THREADS, proof);
    cli::exit_code(result, |error| println!("{}: {error}", verdict(false)))
}

/// The first words of a proof's last line.
pub fn verdict(holds: bool) -> &'static str {
    if holds {
        "proved"
    } else {
        "NOT PROVED"
    }
}
