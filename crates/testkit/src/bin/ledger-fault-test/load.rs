//! State shared by all clients.

use crate::logical_request::ClientRequestRecord;
use aggregator_testkit::installation::now_ms;
use aggregator_testkit::sync::{lock, Counter};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::sleep;

/// Time after the start and before the end of a period in which no first attempt is sent, so that
/// each first attempt arrives in the period in which it was sent.
const PERIOD_EDGE_MS: u64 = 300;
const PERIOD_EDGE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counters of attempts, over all clients.
#[derive(Default)]
pub struct ClientCounters {
    /// Attempts made.
    pub attempts: Counter,
    /// Switches to another aggregator after an attempt.
    pub crossed: Counter,
    /// Attempts whose client closed the connection early.
    pub abandoned: Counter,
    /// Attempts whose connection was lost or could not be established.
    pub lost: Counter,
    /// Attempts rejected by an aggregator.
    pub rejected: Counter,
    /// Attempts that ended after the client timeout, with or without a response.
    pub late: Counter,
    /// Attempts that timed out, or whose connection to an aggregator that had not been killed was
    /// lost.
    pub unanswered: Counter,
    /// Incorrect answers.
    pub incorrect: Counter,
}

/// Load on the aggregators, shared by all clients.
pub struct LedgerLoad {
    /// Addresses of the aggregators' native frontends.
    pub addresses: Vec<SocketAddr>,
    /// Counters of attempts.
    pub counters: ClientCounters,
    /// Length of a billing period in milliseconds.
    pub period_ms: u64,
    /// Whether each aggregator was killed; from then on lost connections to it are expected.
    killed: Vec<AtomicBool>,
    remaining_requests: AtomicU64,
    records: Mutex<Vec<ClientRequestRecord>>,
}

impl LedgerLoad {
    /// Creates a load of `requests` logical requests, over all clients.
    pub fn new(addresses: Vec<SocketAddr>, period_seconds: u64, requests: u64) -> LedgerLoad {
        LedgerLoad {
            killed: addresses.iter().map(|_| AtomicBool::new(false)).collect(),
            addresses,
            counters: ClientCounters::default(),
            period_ms: period_seconds * 1000,
            remaining_requests: AtomicU64::new(requests),
            records: Mutex::new(Vec::new()),
        }
    }

    /// Records that the aggregator at index `aggregator` is about to be killed.
    pub fn mark_killed(&self, aggregator: usize) {
        self.killed[aggregator].store(true, Ordering::Relaxed);
    }

    /// Returns whether the aggregator at index `aggregator` was ever killed.
    pub fn was_killed(&self, aggregator: usize) -> bool {
        self.killed[aggregator].load(Ordering::Relaxed)
    }

    /// Removes and returns the records of all logical requests that have ended.
    pub fn take_records(&self) -> Vec<ClientRequestRecord> {
        std::mem::take(&mut *lock(&self.records))
    }

    /// Adds the record of a logical request that has ended.
    pub fn record_request(&self, record: ClientRequestRecord) {
        lock(&self.records).push(record);
    }

    /// Reserves one of the remaining logical requests. Returns whether there was one.
    pub fn reserve_request(&self) -> bool {
        self.remaining_requests
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                remaining.checked_sub(1)
            })
            .is_ok()
    }

    /// Waits until a first attempt is certain to arrive in the period in which it is sent.
    pub async fn wait_until_clear_of_period_edge(&self) {
        let middle = PERIOD_EDGE_MS..self.period_ms - PERIOD_EDGE_MS;
        while !middle.contains(&(now_ms() % self.period_ms)) {
            sleep(PERIOD_EDGE_POLL_INTERVAL).await;
        }
    }
}
