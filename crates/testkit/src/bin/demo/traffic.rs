//! Client that sends random queries at a low rate.

use aggregator_testkit::client::{
    consecutive_shards, ClientAttempt, ClientOutcome, ClientQuery, HttpConnection,
};
use aggregator_testkit::installation::{InstallationClass, CLASSES, SHARDS, TENANTS};
use aggregator_testkit::sync::Counter;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Range of the pause between two queries, in milliseconds.
const THINK_TIME_MS: Range<u64> = 20..80;

/// Numbers of queries by outcome.
#[derive(Default)]
pub struct OutcomeCounters {
    /// Queries with an answer.
    pub answered: Counter,
    /// Queries that were rejected.
    pub rejected: Counter,
    /// Queries with an error response or without a response.
    pub failed: Counter,
}

impl OutcomeCounters {
    fn count(&self, outcome: &ClientOutcome) {
        let counter = match outcome {
            ClientOutcome::Answered { .. } => &self.answered,
            ClientOutcome::Rejected { .. } => &self.rejected,
            _ => &self.failed,
        };
        counter.increment();
    }
}

/// Sends random queries to random aggregators until the task is aborted.
pub async fn send_queries(addresses: Vec<SocketAddr>, seed: u64, counters: Arc<OutcomeCounters>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut connections: Vec<HttpConnection> =
        addresses.into_iter().map(HttpConnection::new).collect();
    for query_number in 0u64.. {
        let class = CLASSES[random.random_range(0..CLASSES.len())];
        let query = random_query(&mut random, &class);
        let attempt = ClientAttempt {
            request_id: &format!("demo-{query_number}"),
            is_retry: false,
            timeout: class.timeout(),
            late_tolerance: Duration::ZERO,
        };
        let index = random.random_range(0..connections.len());
        let outcome = connections[index].query(&query, &attempt).await;
        counters.count(&outcome);
        let pause = Duration::from_millis(random.random_range(THINK_TIME_MS));
        tokio::time::sleep(pause).await;
    }
}

fn random_query(random: &mut StdRng, class: &InstallationClass) -> ClientQuery {
    let shard_count = random.random_range(2..=6);
    let first_shard = random.random_range(0..SHARDS);
    ClientQuery {
        class: class.name.into(),
        tenant: TENANTS[random.random_range(0..TENANTS.len())].into(),
        shards: consecutive_shards(first_shard, shard_count, SHARDS),
        text: format!("{:08x}", random.random::<u32>()),
        idempotency_key: None,
    }
}
