//! `query-aggregator`: the command-line program for the aggregator and the usage ledger.
//!
//! [`cli`] parses the arguments and runs a subcommand. [`process`] is the aggregator itself: it
//! reads its files, opens its sockets, handles signals and serves until it is shut down.

mod cli;
mod configuration;
mod error;
mod files;
mod frontends;
mod legacy_names;
mod logging;
mod process;
mod settings;
mod usage_recorder;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("query-aggregator: {}", error.one_line());
            ExitCode::from(error.class().exit_code())
        }
    }
}
