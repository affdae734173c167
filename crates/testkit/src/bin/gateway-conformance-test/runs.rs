//! The two runs of the test: first all searches under load, then the searches that request a fault
//! again, on an installation with long latency objectives.

use crate::api_checks;
use crate::faulted_search::{SearchConditions, LONG_CLIENT_TIMEOUT, LONG_LATENCY_OBJECTIVE};
use crate::load::{self, GatewayLoad};
use crate::search_case::SearchCase;
use crate::tally::Tally;
use aggregator_testkit::installation::{Installation, InstallationOptions, LeafStart};
use aggregator_testkit::leaf::LeafOptions;
use aggregator_testkit::test_program::TestProgramError;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// Index of the zone that is lost.
const LOST_ZONE: usize = 2;
const TIME_BEFORE_ZONE_LOSS: Duration = Duration::from_secs(2);
const ZONE_LOSS_DURATION: Duration = Duration::from_secs(2);
/// Time limit for the graceful shutdown of each aggregator.
const EXIT_LIMIT: Duration = Duration::from_secs(10);

/// Size of the load.
#[derive(Clone, Copy)]
pub struct LoadOptions {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of searches, over all clients; rounded down to a multiple of their number.
    pub searches: u64,
    /// Number of concurrent clients.
    pub clients: u64,
}

/// Result of the run under load.
pub struct LoadResult {
    /// Tally of all searches.
    pub tally: Tally,
    /// Number of failed checks of the gateway's API.
    pub api_failures: usize,
    /// Searches that requested a fault.
    pub faulted_cases: Vec<SearchCase>,
    /// Whether all aggregators shut down gracefully.
    pub has_clean_exit: bool,
}

/// Checks the gateway's API, then sends all searches while a zone is lost and restored.
pub async fn run_load(
    folder: &Path,
    options: &LoadOptions,
) -> Result<LoadResult, TestProgramError> {
    let installation_options = installation_options(options.seed);
    let mut installation = Installation::start(folder, &installation_options).await?;
    let gateway = installation.aggregators[0].gateway_address;
    let api_failures = api_checks::check_all(gateway).await;
    for failure in &api_failures {
        println!("WRONG {failure}");
    }
    let load = GatewayLoad::new(
        &installation,
        options.seed,
        SearchConditions::ShortObjective,
    );
    let searches_per_client = options.searches / options.clients;
    let clients = load::start_clients(&load, options.clients, searches_per_client);
    sleep(TIME_BEFORE_ZONE_LOSS).await;
    installation.lose_zone(LOST_ZONE);
    sleep(ZONE_LOSS_DURATION).await;
    installation
        .restore_zone(LOST_ZONE, LeafStart::JustNow)
        .await?;
    for client in clients {
        client.await?;
    }
    Ok(LoadResult {
        has_clean_exit: installation.terminate_aggregators(EXIT_LIMIT),
        tally: load.take_tally(),
        api_failures: api_failures.len(),
        faulted_cases: load.take_faulted_cases(),
    })
}

/// Result of the searches with a fault, repeated with long latency objectives.
pub struct RepeatResult {
    /// Tallies of the searches with all zones and with one zone lost, in this order.
    pub tallies: Vec<Tally>,
    /// Whether all aggregators shut down gracefully.
    pub has_clean_exit: bool,
}

/// Sends the searches that request a fault to an installation with long latency objectives, before
/// and after the loss of a zone.
pub async fn repeat_faulted_searches(
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
    for conditions in [
        SearchConditions::LongObjective,
        SearchConditions::LongObjectiveWithZoneLost,
    ] {
        if conditions == SearchConditions::LongObjectiveWithZoneLost {
            installation.lose_zone(LOST_ZONE);
        }
        let load = GatewayLoad::new(&installation, seed, conditions);
        for client in load::start_gateway_clients(&load, cases) {
            client.await?;
        }
        tallies.push(load.take_tally());
    }
    Ok(RepeatResult {
        has_clean_exit: installation.terminate_aggregators(EXIT_LIMIT),
        tallies,
    })
}

fn installation_options(seed: u64) -> InstallationOptions {
    let leaf = LeafOptions {
        service_time: Duration::from_millis(4),
        capacity: 64,
    };
    InstallationOptions {
        has_gateway: true,
        ..InstallationOptions::new(seed, leaf)
    }
}
