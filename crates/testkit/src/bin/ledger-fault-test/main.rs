//! `ledger-fault-test`: tests that the ledger's totals equal what clients sent, while faults are
//! injected.
//!
//! Three aggregators, 12 leaf servers in three zones, and clients that retry within and across
//! aggregators. The faults:
//!
//! - One aggregator is killed in the middle of a period, started, killed again as it recovers, and
//!   started.
//! - A zone is lost across the end of a period, and restored with servers that have to warm up.
//! - The settlement is killed twice.
//! - The receiver of documents stores them and then drops the connection, answers 500 or hangs, and
//!   is restarted.
//! - A statement is corrected after it was exported.
//!
//! In the end the clients' own records are compared with the statements and the documents, by code
//! that shares nothing with the ledger's.

mod answer_check;
mod check_list;
mod checks;
mod client;
mod client_use;
mod environment;
mod faults;
mod ledger_commands;
mod load;
mod receiver;
mod results;
mod settings;
mod statements;
mod stats_files;
mod timestamps;
mod totals;
mod use_execution;

use aggregator_testkit::test_program::{self, TestProgramError};
use clap::Parser;
use environment::{Environment, EnvironmentOptions};
use std::process::ExitCode;
use std::time::Instant;
use tempfile::TempDir;

const MIN_PERIOD_SECONDS: u64 = 4;

/// Tests the ledger on loopback. The last line is a summary; the exit code is 0 only if all checks
/// pass.
#[derive(Parser)]
struct Arguments {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Uses by clients, each in one or more attempts
    #[arg(long, default_value_t = 20_000)]
    queries: u64,
    /// Clients at once
    #[arg(long, default_value_t = 64)]
    clients: u64,
    /// Seconds of a period
    #[arg(long, default_value_t = 5)]
    period: u64,
    /// Keep the folder with all logs and files, and print its name
    #[arg(long)]
    keep: bool,
}

fn main() -> ExitCode {
    test_program::run(run(Arguments::parse()))
}

async fn run(arguments: Arguments) -> Result<bool, TestProgramError> {
    let folder = create_folder(arguments.keep)?;
    let started = Instant::now();
    let options = EnvironmentOptions {
        seed: arguments.seed,
        uses: arguments.queries,
        clients: arguments.clients,
        period_seconds: arguments.period.max(MIN_PERIOD_SECONDS),
    };
    let mut environment = Environment::start(folder.path(), options).await?;
    environment.run_clients_under_faults().await?;
    let load_time = started.elapsed();
    let results = environment.collect_results().await?;
    environment.check_results(&results).await?;
    let checks = environment.checks();
    results.print_summary(checks, load_time, started.elapsed(), arguments.seed);
    Ok(checks.holds())
}

fn create_folder(keep: bool) -> std::io::Result<TempDir> {
    let mut folder = tempfile::tempdir()?;
    if keep {
        folder.disable_cleanup(true);
        println!("files are kept in {}", folder.path().display());
    }
    Ok(folder)
}
