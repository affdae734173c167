//! `ledger-fault-test`: tests that the ledger's totals equal what clients sent, while faults are
//! injected.
//!
//! Three aggregators, 12 leaf servers in three zones, and clients that retry within and across
//! aggregators. One aggregator is killed in the middle of a period, started, killed again as it
//! recovers, and started; a zone is lost across the end of a period and comes back cold; the
//! settlement is killed twice; the receiver of documents stores them and then drops the connection,
//! answers 500 or hangs, and is restarted; a correction is made after its statement has gone out.
//! In the end the clients' own records are compared with the statements and the documents, by code
//! that shares nothing with the ledger's.

mod answer_check;
mod check_list;
mod checks;
mod client;
mod client_use;
mod faults;
mod ledger_commands;
mod load;
mod receiver;
mod settings;
mod statements;
mod timestamps;
mod totals;
mod use_execution;

use aggregator_testkit::http::get;
use aggregator_testkit::installation::{now_ms, Installation};
use aggregator_testkit::test_program::{self, TestProgramError};
use check_list::CheckList;
use checks::Results;
use clap::Parser;
use load::LedgerLoad;
use receiver::RestartableReceiver;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::time::sleep;

const MIN_PERIOD_SECONDS: u64 = 4;
/// How long each process may take to exit.
const EXIT_LIMIT: Duration = Duration::from_secs(10);
/// The settlement collects the last records of the aggregators that have exited meanwhile.
const PAUSE_BEFORE_SETTLEMENT_EXIT: Duration = Duration::from_millis(500);

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
    let temporary_folder = create_folder(arguments.keep)?;
    let folder = temporary_folder.path();
    let started = Instant::now();
    let period_seconds = arguments.period.max(MIN_PERIOD_SECONDS);
    let mut receiver = RestartableReceiver::start().await?;
    let documents_folder = folder.join("documents");
    let ledger_settings = settings::ledger_settings(period_seconds, &receiver, &documents_folder);
    let options = settings::installation_options(arguments.seed, ledger_settings);
    let mut installation = Installation::start(folder, &options).await?;
    installation.ledger.start_settlement()?;
    let addresses = installation.aggregator_addresses();
    let load = Arc::new(LedgerLoad::new(
        addresses,
        period_seconds,
        arguments.queries,
    ));
    let clients = client::start_clients(&load, arguments.clients, arguments.seed);
    faults::inject(&mut installation, &load, &mut receiver).await?;
    let mut checks = CheckList::default();
    ledger_commands::check_correction(&mut checks, &installation.ledger, &receiver).await?;
    for client in clients {
        client.await?;
    }
    let load_time = started.elapsed();
    let stats_files = save_stats(&installation, folder).await?;
    // All that was sent belongs to periods up to this one.
    let load_end_ms = now_ms();
    let ledger = &installation.ledger;
    let periods = statements::wait_for_all(ledger, load_end_ms).await?;
    receiver.stop();
    let results = Results {
        uses: load.take_uses(),
        load: &load,
        statements: statements::read_all(ledger, &periods)?,
        received: receiver.documents(),
        document_list: statements::document_list(ledger)?,
        files: statements::exported_files(&documents_folder)?,
    };
    let clients_file = folder.join("clients.csv");
    totals::write_csv(&clients_file, &results.uses)?;
    checks::check_all(&mut checks, &results, arguments.queries);
    terminate(&mut checks, &mut installation).await;
    let ledger = &installation.ledger;
    ledger_commands::check_reconciliation(&mut checks, ledger, &clients_file, &stats_files)?;
    ledger_commands::check_verification(&mut checks, &installation)?;
    results.print_summary(&checks, load_time, started.elapsed(), arguments.seed);
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

/// The file with the counters of one aggregator.
struct StatsFile {
    aggregator: String,
    path: PathBuf,
}

/// Saves the counters of all aggregators to files.
async fn save_stats(installation: &Installation, folder: &Path) -> std::io::Result<Vec<StatsFile>> {
    let mut files = Vec::new();
    for aggregator in &installation.aggregators {
        let response = get(aggregator.address, "/-/stats").await;
        let path = folder.join(format!("{}.stats", aggregator.name));
        fs::write(
            &path,
            response.map(|response| response.body).unwrap_or_default(),
        )?;
        files.push(StatsFile {
            aggregator: aggregator.name.clone(),
            path,
        });
    }
    Ok(files)
}

/// Ends all processes of the installation, each of which has to exit by itself.
async fn terminate(checks: &mut CheckList, installation: &mut Installation) {
    for aggregator in &mut installation.aggregators {
        let clean = aggregator.terminate(EXIT_LIMIT);
        checks.check("an aggregator exits by itself", clean, &aggregator.name);
    }
    sleep(PAUSE_BEFORE_SETTLEMENT_EXIT).await;
    let clean = installation.ledger.terminate_settlement(EXIT_LIMIT);
    checks.check("the settlement exits by itself", clean, "SIGTERM");
}
