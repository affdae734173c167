//! Entry point and verdict of the test programs.

use crate::cli;
use crate::installation::InstallationError;
use std::future::Future;
use std::process::ExitCode;

const WORKER_THREADS: usize = 3;

/// Error that ends a test program early.
#[derive(Debug, thiserror::Error)]
pub enum TestProgramError {
    /// The installation could not be started or used.
    #[error(transparent)]
    Installation(#[from] InstallationError),
    /// The task of a client panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// An operation on a file or a process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Runs a test program to completion, and prints its error if it ends early. The output of
/// `program` is whether the test passed.
pub fn run(program: impl Future<Output = Result<bool, TestProgramError>>) -> ExitCode {
    let result = cli::block_on(WORKER_THREADS, program);
    cli::exit_code(result, |error| println!("{}: {error}", verdict(false)))
}

/// Returns the first word of a test program's last line: `PASSED` or `FAILED`.
pub fn verdict(passed: bool) -> &'static str {
    if passed {
        "PASSED"
    } else {
        "FAILED"
    }
}
