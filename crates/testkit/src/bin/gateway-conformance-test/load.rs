//! Load: clients that send searches through the native frontend and the gateway.

use crate::faulted_search::SearchConditions;
use crate::search_case::SearchCase;
use crate::tally::Tally;
use aggregator_testkit::client::HttpConnection;
use aggregator_testkit::installation::Installation;
use aggregator_testkit::random;
use aggregator_testkit::sync::lock;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::task::JoinHandle;

/// Addresses of the two frontends of one aggregator.
#[derive(Clone, Copy)]
struct AggregatorAddresses {
    native: SocketAddr,
    gateway: SocketAddr,
}

/// State shared by all clients.
pub struct GatewayLoad {
    seed: u64,
    aggregators: Vec<AggregatorAddresses>,
    conditions: SearchConditions,
    tally: Mutex<Tally>,
    /// Searches that requested a fault.
    faulted_cases: Mutex<Vec<SearchCase>>,
}

impl GatewayLoad {
    /// Creates a load on all aggregators of an installation.
    pub fn new(
        installation: &Installation,
        seed: u64,
        conditions: SearchConditions,
    ) -> Arc<GatewayLoad> {
        let aggregators = installation.aggregators.iter();
        let addresses = aggregators.map(|aggregator| AggregatorAddresses {
            native: aggregator.address,
            gateway: aggregator.gateway_address,
        });
        Arc::new(GatewayLoad {
            seed,
            aggregators: addresses.collect(),
            conditions,
            tally: Mutex::default(),
            faulted_cases: Mutex::default(),
        })
    }

    /// Removes and returns the searches that requested a fault.
    pub fn take_faulted_cases(&self) -> Vec<SearchCase> {
        std::mem::take(&mut *lock(&self.faulted_cases))
    }

    /// Removes and returns the tally of all searches.
    pub fn take_tally(&self) -> Tally {
        std::mem::take(&mut *lock(&self.tally))
    }
}

/// Starts clients, each of which ends after `searches_per_client` searches.
pub fn start_clients(
    load: &Arc<GatewayLoad>,
    clients: u64,
    searches_per_client: u64,
) -> Vec<JoinHandle<()>> {
    (0..clients)
        .map(|client| tokio::spawn(run_client(load.clone(), client, searches_per_client)))
        .collect()
}

/// Starts one client per aggregator, which sends its share of `cases` to the gateway.
pub fn start_gateway_clients(load: &Arc<GatewayLoad>, cases: &[SearchCase]) -> Vec<JoinHandle<()>> {
    let aggregator_count = load.aggregators.len();
    (0..aggregator_count)
        .map(|index| {
            let cases = cases.iter().skip(index).step_by(aggregator_count);
            tokio::spawn(run_gateway_client(
                load.clone(),
                index,
                cases.cloned().collect(),
            ))
        })
        .collect()
}

/// Sends `cases` to the gateway of the aggregator at index `aggregator`.
async fn run_gateway_client(load: Arc<GatewayLoad>, aggregator: usize, cases: Vec<SearchCase>) {
    let mut gateway = HttpConnection::new(load.aggregators[aggregator].gateway);
    for case in cases {
        send_to_gateway(&load, &case, &mut gateway).await;
    }
}

/// Sends random searches to one aggregator, each through both frontends in random order, or through
/// the gateway only if it requests a fault.
async fn run_client(load: Arc<GatewayLoad>, client: u64, searches: u64) {
    let mut random = random::stream(load.seed, client + 1);
    let aggregator = load.aggregators[client as usize % load.aggregators.len()];
    let mut native = HttpConnection::new(aggregator.native);
    let mut gateway = HttpConnection::new(aggregator.gateway);
    for search_number in 0..searches {
        let case = SearchCase::random(&mut random, client, search_number);
        if random.random_bool(0.5) {
            send_native(&load, &case, &mut native).await;
            send_to_gateway(&load, &case, &mut gateway).await;
        } else {
            send_to_gateway(&load, &case, &mut gateway).await;
            send_native(&load, &case, &mut native).await;
        }
        if case.fault.is_some() {
            lock(&load.faulted_cases).push(case);
        }
    }
}

/// Sends a search through the native frontend unless it requests a fault. The native frontend
/// returns the responses of shards without interpreting them, so faults in them have no effect
/// there.
async fn send_native(load: &GatewayLoad, case: &SearchCase, connection: &mut HttpConnection) {
    if case.fault.is_none() {
        let report = case.send_native(connection).await;
        lock(&load.tally).add_native(case.class.name, report);
    }
}

async fn send_to_gateway(load: &GatewayLoad, case: &SearchCase, connection: &mut HttpConnection) {
    let report = case.send_to_gateway(connection, load.conditions).await;
    if let Some(report) = report {
        lock(&load.tally).add_gateway(case.class.name, case.fault, report);
    }
}
