//! The clients, each of which makes one use after the other.

use crate::client_use::Use;
use crate::load::LedgerLoad;
use crate::use_execution::UseExecution;
use aggregator_testkit::client::HttpConnection;
use aggregator_testkit::random;
use rand::Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Pause of a client between its uses, in milliseconds.
const THINK_TIME_MS: Range<u64> = 40..160;

/// Starts clients, which end when all uses have been made.
pub fn start_clients(load: &Arc<LedgerLoad>, clients: u64, seed: u64) -> Vec<JoinHandle<()>> {
    (0..clients)
        .map(|client| tokio::spawn(run_client(load.clone(), client, seed)))
        .collect()
}

async fn run_client(load: Arc<LedgerLoad>, client: u64, seed: u64) {
    let mut random = random::stream(seed, client);
    let home = client as usize % load.addresses.len();
    let mut connection = HttpConnection::new(load.addresses[home]);
    for number in 0u64.. {
        if !load.reserve_use() {
            return;
        }
        sleep(Duration::from_millis(random.random_range(THINK_TIME_MS))).await;
        let next_use = Use::random(&mut random, client, number);
        load.wait_away_from_period_edge().await;
        let execution = UseExecution::new(&load, &mut connection, &mut random, &next_use, home);
        load.record_use(execution.run().await);
    }
}
