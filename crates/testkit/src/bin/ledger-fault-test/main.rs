//! `ledger-fault-test`: tests that the ledger's totals equal what clients sent, while faults are
//! injected.
//!
//! The installation has three aggregators and 12 leaf servers in three zones. Clients retry at the
//! same aggregator and at others. The faults:
//!
//! - An aggregator is killed in the middle of a period, restarted, killed again during recovery,
//!   and restarted.
//! - A zone is lost across the end of a period, and restored with leaf servers that have to warm
//!   up.
//! - The settlement is killed twice.
//! - The receiver of documents stores a document and then drops the connection, responds with
//!   status 500 or hangs. The receiver is also restarted.
//! - A statement is corrected after its export.
//!
//! At the end, the records of the clients are compared with the statements and the documents. The
//! comparison shares no code with the ledger. Only the join keys in the file of client records,
//! which `ledger reconcile` reads, are computed by the code of the aggregator.

mod answer_check;
mod check_list;
mod checks;
mod client;
mod environment;
mod faults;
mod ledger_commands;
mod load;
mod logical_request;
mod receiver;
mod request_execution;
mod results;
mod settings;
mod statements;
mod stats_files;
mod timestamps;
mod totals;

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
    /// Seed of all random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Logical requests of all clients, each sent in one or more attempts
    #[arg(long, default_value_t = 20_000)]
    queries: u64,
    /// Concurrent clients
    #[arg(long, default_value_t = 64)]
    clients: u64,
    /// Length of a billing period in seconds, at least 4
    #[arg(long, default_value_t = 5)]
    period: u64,
    /// Keep the folder with all logs and files and print its path
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
        requests: arguments.queries,
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
    Ok(checks.passed())
}

fn create_folder(keep: bool) -> std::io::Result<TempDir> {
    let mut folder = tempfile::tempdir()?;
    if keep {
        folder.disable_cleanup(true);
        println!("keeping files in {}", folder.path().display());
    }
    Ok(folder)
}
