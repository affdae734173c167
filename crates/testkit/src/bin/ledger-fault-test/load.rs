//! The state that all clients share.

use crate::client_use::UseRecord;
use aggregator_testkit::installation::now_ms;
use aggregator_testkit::sync::{lock, Counter};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::sleep;

/// No first attempt is sent so near to a period's end that it might arrive past it.
const PERIOD_EDGE_MS: u64 = 300;
const PERIOD_EDGE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts of what happened to attempts.
#[derive(Default)]
pub struct ClientCounters {
    /// Attempts sent.
    pub attempts: Counter,
    /// Attempts at another aggregator than the attempt before it.
    pub crossed: Counter,
    /// Attempts that the client cancelled early.
    pub abandoned: Counter,
    /// Connections that were lost or could not be established.
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
    /// Counts of what happened to attempts.
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

    /// Records a use that has ended.
    pub fn record_use(&self, record: UseRecord) {
        lock(&self.uses).push(record);
    }

    /// Reserves one use; false if all have been made.
    pub fn reserve_use(&self) -> bool {
        self.remaining_uses
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                remaining.checked_sub(1)
            })
            .is_ok()
    }

    /// Waits until a first attempt is sure to arrive in the period that it is sent in.
    pub async fn wait_away_from_period_edge(&self) {
        let middle = PERIOD_EDGE_MS..self.period_ms - PERIOD_EDGE_MS;
        while !middle.contains(&(now_ms() % self.period_ms)) {
            sleep(PERIOD_EDGE_POLL_INTERVAL).await;
        }
    }
}
