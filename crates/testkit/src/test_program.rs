//! The entry point and the verdict of the test programs.

use crate::cli;
use crate::installation::InstallationError;
use std::future::Future;
use std::process::ExitCode;

const WORKER_THREADS: usize = 3;

/// Why a test program can't run to its end.
#[derive(Debug, thiserror::Error)]
pub enum TestProgramError {
    /// The installation fails.
    #[error(transparent)]
    Installation(#[from] InstallationError),
    /// A client's task panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// A file or a process can't be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Runs a test program, whose value says whether it passed, and prints why if it can't run to its
/// end.
pub fn run(program: impl Future<Output = Result<bool, TestProgramError>>) -> ExitCode {
    let result = cli::block_on(WORKER_THREADS, program);
    cli::exit_code(result, |error| println!("{}: {error}", verdict(false)))
}

/// The first word of a test program's last line.
pub fn verdict(passed: bool) -> &'static str {
    if passed {
        "PASSED"
    } else {
        "FAILED"
    }
}
