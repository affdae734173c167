//! `prove-opensearch`: that searches through the OpenSearch gateway are what they ought to be, and
//! are served as the native protocol serves the same queries.
//!
//! The same random searches go through both, to the same leaf servers, while a zone is lost and
//! comes back cold. Every page is compared with the one computed from the documents over the shards
//! that it claims.

mod api_cases;
mod api_checks;
mod load;
mod page_check;
mod random_search;
mod summary;
mod tally;

use aggregator_testkit::installation::{Installation, InstallationOptions};
use aggregator_testkit::leaf::LeafOptions;
use aggregator_testkit::proof::{self, ProofError};
use clap::Parser;
use load::Load;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use summary::Summary;
use tokio::time::sleep;

/// The zone that is lost, and for how long.
const LOST_ZONE: usize = 2;
const TIME_BEFORE_ZONE_LOSS: Duration = Duration::from_secs(2);
const ZONE_LOSS_TIME: Duration = Duration::from_secs(2);
/// How long each aggregator may take to exit.
const EXIT_LIMIT: Duration = Duration::from_secs(10);

/// Proves the front on loopback; the last line is a summary, and the exit code 0 only if all holds.
#[derive(Parser)]
struct Arguments {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Searches, each through both fronts
    #[arg(long, default_value_t = 5000)]
    queries: u64,
    #[arg(long, default_value_t = 24)]
    clients: u64,
}

fn main() -> ExitCode {
    proof::run(run(Arguments::parse()))
}

async fn run(arguments: Arguments) -> Result<bool, ProofError> {
    let started = Instant::now();
    let folder = tempfile::tempdir()?;
    let options = installation_options(arguments.seed);
    let mut installation = Installation::start(folder.path(), &options).await?;
    let gateway = installation.aggregators[0].gateway_address;
    let api_failures = api_checks::check_all(gateway).await;
    for failure in &api_failures {
        println!("WRONG {failure}");
    }
    let load = Load::new(&installation, arguments.seed);
    let searches_per_client = arguments.queries / arguments.clients;
    let clients = load::start_clients(&load, arguments.clients, searches_per_client);
    sleep(TIME_BEFORE_ZONE_LOSS).await;
    installation.lose_zone(LOST_ZONE);
    sleep(ZONE_LOSS_TIME).await;
    installation.restore_zone(LOST_ZONE, true).await?;
    for client in clients {
        client.await?;
    }
    let summary = Summary {
        clean_exit: installation.terminate_aggregators(EXIT_LIMIT),
        tally: load.take_tally(),
        api_failures: api_failures.len(),
    };
    summary.print_details();
    summary.print_last_line(arguments.seed, started.elapsed());
    Ok(summary.holds())
}

fn installation_options(seed: u64) -> InstallationOptions {
    let leaf = LeafOptions {
        service_time: Duration::from_millis(4),
        capacity: 64,
    };
    InstallationOptions {
        gateway: true,
        ..InstallationOptions::new(seed, leaf)
    }
}
