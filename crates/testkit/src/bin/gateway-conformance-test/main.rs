//! `gateway-conformance-test`: tests that the OpenSearch gateway answers searches correctly, and as
//! often as the native protocol answers the same queries.
//!
//! The same random searches go through both frontends, to the same leaf servers, while a zone is
//! lost and restored with servers that have to warm up. Every page is compared with the one computed from the documents over the shards
//! that it claims.

mod api_cases;
mod api_checks;
mod faulted_search;
mod load;
mod page_check;
mod random_search;
mod summary;
mod tally;

use aggregator_testkit::installation::{Installation, InstallationOptions};
use aggregator_testkit::leaf::LeafOptions;
use aggregator_testkit::test_program::{self, TestProgramError};
use clap::Parser;
use faulted_search::{TimePressure, LONG_CLIENT_TIMEOUT, LONG_LATENCY_OBJECTIVE};
use load::{GatewayLoad, SearchCase};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use summary::Summary;
use tally::Tally;
use tokio::time::sleep;

/// The zone that is lost, and for how long.
const LOST_ZONE: usize = 2;
const TIME_BEFORE_ZONE_LOSS: Duration = Duration::from_secs(2);
const ZONE_LOSS_TIME: Duration = Duration::from_secs(2);
/// How long each aggregator may take to exit.
const EXIT_LIMIT: Duration = Duration::from_secs(10);

/// Tests the gateway on loopback. The last line is a summary; the exit code is 0 only if all checks
/// pass.
#[derive(Parser)]
struct Arguments {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Searches, each through both frontends
    #[arg(long, default_value_t = 5000)]
    queries: u64,
    #[arg(long, default_value_t = 24)]
    clients: u64,
}

fn main() -> ExitCode {
    test_program::run(run(Arguments::parse()))
}

async fn run(arguments: Arguments) -> Result<bool, TestProgramError> {
    let started = Instant::now();
    let folder = tempfile::tempdir()?;
    let under_load = run_load(folder.path(), &arguments).await?;
    let folder = tempfile::tempdir()?;
    let faulted_cases = under_load.faulted_cases;
    let repeated = repeat_faulted_searches(folder.path(), arguments.seed, &faulted_cases).await?;
    let summary = Summary {
        clean_exit: under_load.clean_exit && repeated.clean_exit,
        tally: under_load.tally,
        api_failures: under_load.api_failures,
        repeated: repeated.tallies,
    };
    summary.print_details();
    summary.print_last_line(arguments.seed, started.elapsed());
    Ok(summary.holds())
}

/// What became of the searches under load.
struct LoadResult {
    tally: Tally,
    /// Checks of the gateway's interface that failed.
    api_failures: usize,
    /// The searches that requested a fault.
    faulted_cases: Vec<SearchCase>,
    /// Whether all aggregators exited by themselves.
    clean_exit: bool,
}

/// Checks the gateway's interface, and sends all searches while a zone is lost and restored.
async fn run_load(folder: &Path, arguments: &Arguments) -> Result<LoadResult, TestProgramError> {
    let options = installation_options(arguments.seed);
    let mut installation = Installation::start(folder, &options).await?;
    let gateway = installation.aggregators[0].gateway_address;
    let api_failures = api_checks::check_all(gateway).await;
    for failure in &api_failures {
        println!("WRONG {failure}");
    }
    let load = GatewayLoad::new(&installation, arguments.seed, TimePressure::ShortObjective);
    let searches_per_client = arguments.queries / arguments.clients;
    let clients = load::start_clients(&load, arguments.clients, searches_per_client);
    sleep(TIME_BEFORE_ZONE_LOSS).await;
    installation.lose_zone(LOST_ZONE);
    sleep(ZONE_LOSS_TIME).await;
    installation.restore_zone(LOST_ZONE, true).await?;
    for client in clients {
        client.await?;
    }
    Ok(LoadResult {
        clean_exit: installation.terminate_aggregators(EXIT_LIMIT),
        tally: load.take_tally(),
        api_failures: api_failures.len(),
        faulted_cases: load.take_faulted_cases(),
    })
}

/// What became of the searches with a fault that were repeated without time pressure.
struct RepeatResult {
    /// With all zones, and with one lost.
    tallies: Vec<Tally>,
    /// Whether all aggregators exited by themselves.
    clean_exit: bool,
}

/// Sends the searches with a fault to an installation without time pressure, before and after a
/// zone is lost.
async fn repeat_faulted_searches(
    folder: &Path,
    seed: u64,
    cases: &[SearchCase],
) -> Result<RepeatResult, TestProgramError> {
    let options = InstallationOptions {
        latency_objective: Some(LONG_LATENCY_OBJECTIVE),
        client_timeout: Some(LONG_CLIENT_TIMEOUT),
        ..installation_options(seed)
    };
    let mut installation = Installation::start(folder, &options).await?;
    let mut tallies = Vec::new();
    for pressure in [TimePressure::None, TimePressure::ZoneLost] {
        if pressure == TimePressure::ZoneLost {
            installation.lose_zone(LOST_ZONE);
        }
        let load = GatewayLoad::new(&installation, seed, pressure);
        for client in load::start_gateway_clients(&load, cases) {
            client.await?;
        }
        tallies.push(load.take_tally());
    }
    Ok(RepeatResult {
        clean_exit: installation.terminate_aggregators(EXIT_LIMIT),
        tallies,
    })
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
