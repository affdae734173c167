//! Async runtime and exit codes of the programs in this crate.

use std::fmt::Display;
use std::future::Future;
use std::io;
use std::process::ExitCode;

/// Runs `program` to completion on a new multi-threaded runtime with `worker_threads` threads.
///
/// # Errors
/// Returns an error if the runtime cannot be built, or the error of `program`.
pub fn block_on<T, E: From<io::Error>>(
    worker_threads: usize,
    program: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .enable_all()
        .build()?;
    runtime.block_on(program)
}

/// Converts the result of a program to its exit code: success only for `Ok(true)`. An error is
/// passed to `report_error`.
pub fn exit_code<E: Display>(result: Result<bool, E>, report_error: impl FnOnce(&E)) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            report_error(&error);
            ExitCode::FAILURE
        }
    }
}
