//! Clients, each of which sends one logical request after the other.

use crate::load::LedgerLoad;
use crate::logical_request::ClientLogicalRequest;
use crate::request_execution::RequestExecution;
use aggregator_testkit::client::HttpConnection;
use aggregator_testkit::random;
use rand::Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Range of the pause between two logical requests of a client, in milliseconds.
const THINK_TIME_MS: Range<u64> = 40..160;

/// Starts clients, which end when the logical requests of the load are used up.
pub fn start_clients(load: &Arc<LedgerLoad>, clients: u64, seed: u64) -> Vec<JoinHandle<()>> {
    (0..clients)
        .map(|client| tokio::spawn(run_client(load.clone(), client, seed)))
        .collect()
}

async fn run_client(load: Arc<LedgerLoad>, client: u64, seed: u64) {
    let mut random = random::stream(seed, client);
    let home_aggregator = client as usize % load.addresses.len();
    let mut connection = HttpConnection::new(load.addresses[home_aggregator]);
    for request_number in 0u64.. {
        if !load.reserve_request() {
            return;
        }
        sleep(Duration::from_millis(random.random_range(THINK_TIME_MS))).await;
        let next_request = ClientLogicalRequest::random(&mut random, client, request_number);
        load.wait_until_clear_of_period_edge().await;
        let execution = RequestExecution::new(
            &load,
            &mut connection,
            &mut random,
            &next_request,
            home_aggregator,
        );
        load.record_request(execution.run().await);
    }
}
