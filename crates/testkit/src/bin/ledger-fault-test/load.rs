//! The load: clients that use the aggregators at once.

use crate::use_attempts::{Use, UseAttempts, UseRecord};
use aggregator_testkit::client::{consecutive_shards, ClientQuery, HttpConnection};
use aggregator_testkit::installation::{now_ms, CLASSES, SHARDS, TENANTS};
use aggregator_testkit::random;
use aggregator_testkit::sync::{lock, Counter};
use rand::rngs::StdRng;
use rand::Rng;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// No first attempt is sent so near to a period's end that it might arrive past it.
const PERIOD_EDGE_MS: u64 = 300;
const PERIOD_EDGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The first tenants, whose clients send an idempotency key with each use.
const TENANTS_WITH_KEYS: usize = 2;
/// Pause of a client between its uses, in milliseconds.
const THINK_TIME_MS: Range<u64> = 40..160;

/// What clients met on their way.
#[derive(Default)]
pub struct ClientCounters {
    /// Attempts sent.
    pub attempts: Counter,
    /// Attempts at another aggregator than the attempt before.
    pub crossed: Counter,
    /// Attempts that the client cancelled early.
    pub abandoned: Counter,
    /// Connections that broke or never came up.
    pub lost: Counter,
    /// Attempts that were rejected.
    pub rejected: Counter,
    /// Responses later than the client's timeout.
    pub late: Counter,
    /// Attempts without any response from an aggregator that was up.
    pub unanswered: Counter,
    /// Answers that are not what the leaf servers hold.
    pub wrong: Counter,
}

/// What all clients share.
pub struct LedgerLoad {
    /// Where the aggregators serve queries.
    pub addresses: Vec<SocketAddr>,
    /// What clients met on their way.
    pub counters: ClientCounters,
    /// The length of a period.
    pub period_ms: u64,
    /// Whether each aggregator was killed, after which broken connections to it are no fault.
    killed: Vec<AtomicBool>,
    remaining_uses: AtomicU64,
    uses: Mutex<Vec<UseRecord>>,
}

impl LedgerLoad {
    /// A load of so many uses, over all clients.
    pub fn new(addresses: Vec<SocketAddr>, period_seconds: u64, uses: u64) -> LedgerLoad {
        LedgerLoad {
            killed: addresses.iter().map(|_| AtomicBool::new(false)).collect(),
            addresses,
            counters: ClientCounters::default(),
            period_ms: period_seconds * 1000,
            remaining_uses: AtomicU64::new(uses),
            uses: Mutex::new(Vec::new()),
        }
    }

    /// Notes that an aggregator is about to be killed.
    pub fn mark_killed(&self, aggregator: usize) {
        self.killed[aggregator].store(true, Ordering::Relaxed);
    }

    /// Whether an aggregator was killed at any time.
    pub fn was_killed(&self, aggregator: usize) -> bool {
        self.killed[aggregator].load(Ordering::Relaxed)
    }

    /// Removes and returns the records of all uses that have ended.
    pub fn take_uses(&self) -> Vec<UseRecord> {
        std::mem::take(&mut *lock(&self.uses))
    }

    /// Reserves one use; false if all have been made.
    fn reserve_use(&self) -> bool {
        self.remaining_uses
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                remaining.checked_sub(1)
            })
            .is_ok()
    }

    async fn wait_away_from_period_edge(&self) {
        let middle = PERIOD_EDGE_MS..self.period_ms - PERIOD_EDGE_MS;
        while !middle.contains(&(now_ms() % self.period_ms)) {
            sleep(PERIOD_EDGE_POLL_INTERVAL).await;
        }
    }
}

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
        let next_use = random_use(&mut random, client, number);
        load.wait_away_from_period_edge().await;
        let attempts = UseAttempts::new(&load, &mut connection, &mut random, &next_use, home);
        let record = attempts.run().await;
        lock(&load.uses).push(record);
    }
}

fn random_use(random: &mut StdRng, client: u64, number: u64) -> Use {
    let class = CLASSES[random.random_range(0..CLASSES.len())];
    let tenant = random.random_range(0..TENANTS.len());
    let shard_count = random.random_range(1..=6u32);
    let first_shard = random.random_range(0..SHARDS);
    let id = format!("{client}-{number}");
    // Without a key, a text is used only once, so that the ledger doesn't take two uses for one.
    let has_key = tenant < TENANTS_WITH_KEYS;
    Use {
        query: ClientQuery {
            class: class.name.into(),
            tenant: TENANTS[tenant].into(),
            shards: consecutive_shards(first_shard, shard_count, SHARDS),
            text: if has_key {
                "the same text".into()
            } else {
                id.clone()
            },
            idempotency_key: has_key.then(|| format!("use-{id}")),
        },
        id,
        class,
        tenant: TENANTS[tenant],
    }
}
