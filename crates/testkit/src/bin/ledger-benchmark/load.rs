//! Load on one aggregator, and measurement of its latency and processor time.

use crate::error::BenchError;
use aggregator_testkit::client::{
    consecutive_shards, ClientAttempt, ClientOutcome, ClientQuery, HttpConnection,
};
use aggregator_testkit::installation::{Aggregator, Installation, CLASSES, SHARDS, TENANTS};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 32;
const SHARDS_PER_QUERY: u32 = 4;
/// Precision of all histograms in significant decimal digits.
pub const HISTOGRAM_DIGITS: u8 = 3;

/// Level of load.
pub struct LoadLevel {
    /// Name of the level in the output.
    pub name: &'static str,
    /// Range of the pause of a client between two queries, in milliseconds.
    pub pause_ms: Range<u64>,
}

/// Loads of about a tenth of an aggregator's capacity, and of most of the capacity.
pub const LOAD_LEVELS: [LoadLevel; 2] = [
    LoadLevel {
        name: "light",
        pause_ms: 20..40,
    },
    LoadLevel {
        name: "heavy",
        pause_ms: 0..3,
    },
];

/// Measurements over one slice of time under load.
pub struct Slice {
    /// Number of answered queries.
    pub queries: u64,
    /// Processor time of the aggregator per answered query, in microseconds.
    pub cpu_us_per_query: f64,
    /// Latencies of the answered queries in microseconds.
    pub latency_us: Histogram<u64>,
}

impl Slice {
    /// Returns the 99th percentile of the latency in milliseconds.
    pub fn p99_ms(&self) -> f64 {
        p99_ms(&self.latency_us)
    }
}

/// Returns the 99th percentile in milliseconds of latencies in microseconds.
pub fn p99_ms(latency_us: &Histogram<u64>) -> f64 {
    latency_us.value_at_quantile(0.99) as f64 / 1000.0
}

/// Puts load on the first aggregator of an installation for some seconds and measures it.
pub async fn measure_under_load(
    installation: &Installation,
    seconds: u64,
    level: &LoadLevel,
) -> Result<Slice, BenchError> {
    let aggregator: &Aggregator = &installation.aggregators[0];
    let cpu_seconds = || aggregator.cpu_seconds().unwrap_or_default();
    let cpu_seconds_before = cpu_seconds();
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let pause_ms = level.pause_ms.clone();
            tokio::spawn(run_client(aggregator.address, client, pause_ms, deadline))
        })
        .collect();
    let mut latency_us = Histogram::new(HISTOGRAM_DIGITS)?;
    for client in clients {
        latency_us.add(client.await??)?;
    }
    let queries = latency_us.len();
    let cpu_us = (cpu_seconds() - cpu_seconds_before) * 1e6;
    Ok(Slice {
        queries,
        cpu_us_per_query: cpu_us / queries.max(1) as f64,
        latency_us,
    })
}

/// Sends queries until `deadline`. Returns the latencies of the answered ones in microseconds.
async fn run_client(
    address: SocketAddr,
    client: u64,
    pause_ms: Range<u64>,
    deadline: Instant,
) -> Result<Histogram<u64>, BenchError> {
    let class = CLASSES[1];
    let mut random = StdRng::seed_from_u64(client);
    let mut connection = HttpConnection::new(address);
    let mut latency_us = Histogram::new(HISTOGRAM_DIGITS)?;
    let mut query_number = 0u64;
    while Instant::now() < deadline {
        let first_shard = random.random_range(0..SHARDS);
        let query = ClientQuery {
            class: class.name.into(),
            tenant: TENANTS[0].into(),
            shards: consecutive_shards(first_shard, SHARDS_PER_QUERY, SHARDS),
            text: format!("{:08x}", random.random::<u32>()),
            idempotency_key: None,
        };
        query_number += 1;
        let attempt = ClientAttempt {
            request_id: &format!("b{client}-{query_number}-{:08x}", random.random::<u32>()),
            is_retry: false,
            timeout: class.timeout(),
            late_tolerance: Duration::ZERO,
        };
        let sent_at = Instant::now();
        let outcome = connection.query(&query, &attempt).await;
        if let ClientOutcome::Answered { .. } = outcome {
            let _ = latency_us.record(sent_at.elapsed().as_micros() as u64);
        }
        let pause = Duration::from_millis(random.random_range(pause_ms.clone()));
        tokio::time::sleep(pause).await;
    }
    Ok(latency_us)
}
