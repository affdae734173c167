//! One use of the aggregators by a client, over as many attempts as it takes.

use crate::load::LedgerLoad;
use aggregator_core::engine::usage::{key_of_client, key_of_query};
use aggregator_testkit::client::{
    ClientAttempt, ClientHit, ClientOutcome, ClientQuery, HttpConnection,
};
use aggregator_testkit::installation::{now_ms, InstallationClass};
use aggregator_testkit::leaf::expected_answer;
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

const MAX_ATTEMPTS: u32 = 8;
/// With less time than this left, no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);
/// How much longer than its timeout a client waits, to tell late responses from missing ones.
const LATE_TOLERANCE: Duration = Duration::from_secs(3);
/// The pause after a rejection that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Rounding that a sum of weights may be off by.
const WEIGHT_TOLERANCE: f64 = 1e-3;
const ABANDON_PROBABILITY: f64 = 0.01;
/// How long a client waits that may abandon its attempt, in milliseconds.
const ABANDON_AFTER_MS: Range<u64> = 1..12;
const SWITCH_AFTER_REJECTION_PROBABILITY: f64 = 0.5;

/// What a client is about to use the aggregators for.
pub struct Use {
    /// Identifies the use among those of all clients.
    pub id: String,
    /// The query, the same in each attempt.
    pub query: ClientQuery,
    /// The query's class.
    pub class: InstallationClass,
    /// The query's tenant.
    pub tenant: &'static str,
}

impl Use {
    /// The key by which the ledger joins the attempts of a use.
    fn join_key(&self) -> u64 {
        let query = &self.query;
        match &query.idempotency_key {
            Some(key) => key_of_client(&query.class, key),
            None => {
                let shards = query.shards.iter().map(|shard| (shard.shard, shard.weight));
                key_of_query(&query.class, shards, query.text.as_bytes())
            }
        }
    }
}

/// How a use ended for its client.
#[derive(Clone, Copy, PartialEq)]
pub enum UseOutcome {
    /// With an answer that covers all shards.
    Complete,
    /// With an answer that covers some shards.
    Partial,
    /// With rejections until its time was up.
    Rejected,
    /// With an error.
    Failed,
}

impl UseOutcome {
    /// The outcome's name in the file of uses.
    pub fn label(self) -> &'static str {
        match self {
            UseOutcome::Complete => "whole",
            UseOutcome::Partial => "partial",
            UseOutcome::Rejected => "refused",
            UseOutcome::Failed => "failed",
        }
    }
}

/// A use as its client saw it.
pub struct UseRecord {
    /// When the first attempt was sent, in Unix milliseconds.
    pub started_ms: u64,
    /// The query's tenant.
    pub tenant: &'static str,
    /// The name of the query's class.
    pub class: &'static str,
    /// How it ended.
    pub outcome: UseOutcome,
    /// Attempts made.
    pub attempts: u32,
    /// The key by which the ledger joins its attempts.
    pub join_key: u64,
}

/// A use whose attempts are under way.
pub struct UseAttempts<'a> {
    load: &'a LedgerLoad,
    connection: &'a mut HttpConnection,
    random: &'a mut StdRng,
    current: &'a Use,
    /// The index of the aggregator that the next attempt goes to.
    aggregator: usize,
    attempts: u32,
}

impl<'a> UseAttempts<'a> {
    /// A use that starts at the aggregator `home`.
    pub fn new(
        load: &'a LedgerLoad,
        connection: &'a mut HttpConnection,
        random: &'a mut StdRng,
        current: &'a Use,
        home: usize,
    ) -> UseAttempts<'a> {
        UseAttempts {
            load,
            connection,
            random,
            current,
            aggregator: home,
            attempts: 0,
        }
    }

    /// Makes attempts until the use is answered or its time is up.
    pub async fn run(mut self) -> UseRecord {
        let started_ms = now_ms();
        let outcome = self.run_attempts().await;
        UseRecord {
            started_ms,
            tenant: self.current.tenant,
            class: self.current.class.name,
            outcome,
            attempts: self.attempts,
            join_key: self.current.join_key(),
        }
    }

    async fn run_attempts(&mut self) -> UseOutcome {
        let started = Instant::now();
        while self.attempts < MAX_ATTEMPTS {
            let remaining = self
                .current
                .class
                .timeout()
                .saturating_sub(started.elapsed());
            if remaining < MIN_ATTEMPT_TIME {
                break;
            }
            let Some(outcome) = self.attempt(remaining).await else {
                continue;
            };
            if let Some(use_outcome) = self.handle_outcome(outcome).await {
                return use_outcome;
            }
        }
        UseOutcome::Rejected
    }

    /// Makes one attempt; `None` if the client abandons it.
    async fn attempt(&mut self, remaining: Duration) -> Option<ClientOutcome> {
        let is_retry = self.attempts > 0;
        self.attempts += 1;
        self.load.counters.attempts.increment();
        self.connection
            .redirect(self.load.addresses[self.aggregator]);
        let query = &self.current.query;
        // Some clients abandon the first attempt and retry at another aggregator. Only with an
        // idempotency key the use is then certainly counted once, as the answer may have been on
        // its way.
        let abandons = query.idempotency_key.is_some()
            && !is_retry
            && self.random.random_bool(ABANDON_PROBABILITY);
        let attempt = ClientAttempt {
            request_id: &format!("c{}-{}", self.current.id, self.attempts),
            is_retry,
            timeout: remaining,
            late_tolerance: if abandons {
                Duration::ZERO
            } else {
                LATE_TOLERANCE
            },
        };
        let sent_at = Instant::now();
        let outcome = self.send(&attempt, abandons).await?;
        if sent_at.elapsed() > remaining {
            self.load.counters.late.increment();
        }
        Some(outcome)
    }

    /// Sends an attempt, whose client may not wait for the answer; `None` if it is abandoned.
    async fn send(&mut self, attempt: &ClientAttempt<'_>, abandons: bool) -> Option<ClientOutcome> {
        let query = &self.current.query;
        if !abandons {
            return Some(self.connection.query(query, attempt).await);
        }
        let abandon_after = Duration::from_millis(self.random.random_range(ABANDON_AFTER_MS));
        let outcome = timeout(abandon_after, self.connection.query(query, attempt)).await;
        if outcome.is_err() {
            self.abandon();
        }
        outcome.ok()
    }

    fn abandon(&mut self) {
        self.load.counters.abandoned.increment();
        *self.connection = HttpConnection::new(self.load.addresses[self.aggregator]);
        self.switch_aggregator();
    }

    /// How the use ended with this outcome of an attempt; `None` if it is to be retried.
    async fn handle_outcome(&mut self, outcome: ClientOutcome) -> Option<UseOutcome> {
        let counters = &self.load.counters;
        match outcome {
            ClientOutcome::Answered { complete, hits } => {
                if !self.is_correct(complete, &hits) {
                    counters.wrong.increment();
                }
                Some(if complete {
                    UseOutcome::Complete
                } else {
                    UseOutcome::Partial
                })
            }
            ClientOutcome::Rejected { retry_after } => {
                counters.rejected.increment();
                let pause = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                sleep(pause.min(self.current.class.timeout())).await;
                if self.random.random_bool(SWITCH_AFTER_REJECTION_PROBABILITY) {
                    self.switch_aggregator();
                }
                None
            }
            ClientOutcome::ConnectionLost => {
                counters.lost.increment();
                if !self.load.was_killed(self.aggregator) {
                    counters.unanswered.increment();
                }
                self.switch_aggregator();
                None
            }
            ClientOutcome::TimedOut => {
                counters.unanswered.increment();
                Some(UseOutcome::Failed)
            }
            ClientOutcome::Failed { .. } => Some(UseOutcome::Failed),
        }
    }

    fn switch_aggregator(&mut self) {
        self.aggregator = (self.aggregator + 1) % self.load.addresses.len();
        self.load.counters.crossed.increment();
    }

    /// Whether an answer has the values that the leaf servers hold, none twice, and covers as much
    /// as it has to.
    fn is_correct(&self, complete: bool, hits: &[ClientHit]) -> bool {
        let query = &self.current.query;
        let values_match = hits
            .iter()
            .all(|hit| hit.document == expected_answer(hit.shard, &query.text));
        let coverage: f64 = hits
            .iter()
            .filter_map(|hit| query.shards.iter().find(|shard| shard.shard == hit.shard))
            .map(|shard| shard.weight)
            .sum();
        let minimum_coverage = if complete {
            1.0
        } else {
            self.current.class.minimum_coverage
        };
        let distinct_shards: BTreeSet<u32> = hits.iter().map(|hit| hit.shard).collect();
        values_match
            && coverage + WEIGHT_TOLERANCE >= minimum_coverage
            && distinct_shards.len() == hits.len()
    }
}
