//! `query-aggregator`: the aggregator and its usage ledger on one command line.
//!
//! [`cli`] parses the arguments and runs one subcommand. [`process`] is the aggregator itself: it
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
