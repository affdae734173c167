//! The runtime and the exit code of the kit's programs.

use std::fmt::Display;
use std::future::Future;
use std::io;
use std::process::ExitCode;

/// Runs a program's future to its end on a runtime of its own.
///
/// # Errors
/// The runtime can't be built, or the program fails.
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

/// The exit code of a program: success only if it ran to its end and its value is true.
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
