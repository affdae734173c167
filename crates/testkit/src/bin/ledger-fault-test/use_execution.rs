//! The execution of one use: attempts until it is answered or its timeout has passed.

use crate::answer_check::is_correct_answer;
use crate::client_use::{Use, UseOutcome, UseRecord};
use crate::load::LedgerLoad;
use aggregator_testkit::client::{ClientAttempt, ClientHit, ClientOutcome, HttpConnection};
use aggregator_testkit::installation::now_ms;
use rand::rngs::StdRng;
use rand::Rng;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

const MAX_ATTEMPTS: u32 = 8;
/// No further attempt is made with less time than this left.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);
/// How much longer than its timeout a client waits, to tell late responses from missing ones.
const LATE_TOLERANCE: Duration = Duration::from_secs(3);
/// The pause after a rejection without `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
const ABANDON_PROBABILITY: f64 = 0.01;
/// After how many milliseconds a client abandons an attempt.
const ABANDON_AFTER_MS: Range<u64> = 1..12;
const SWITCH_AFTER_REJECTION_PROBABILITY: f64 = 0.5;

/// A use whose attempts are being made.
pub struct UseExecution<'a> {
    load: &'a LedgerLoad,
    connection: &'a mut HttpConnection,
    random: &'a mut StdRng,
    current: &'a Use,
    /// The index of the aggregator that the next attempt goes to.
    aggregator: usize,
    attempts: u32,
}

impl<'a> UseExecution<'a> {
    /// A use that starts at the aggregator `home`.
    pub fn new(
        load: &'a LedgerLoad,
        connection: &'a mut HttpConnection,
        random: &'a mut StdRng,
        current: &'a Use,
        home: usize,
    ) -> UseExecution<'a> {
        UseExecution {
            load,
            connection,
            random,
            current,
            aggregator: home,
            attempts: 0,
        }
    }

    /// Makes attempts until the use is answered or its timeout has passed.
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
        let use_timeout = self.current.class.timeout();
        while self.attempts < MAX_ATTEMPTS {
            let remaining = use_timeout.saturating_sub(started.elapsed());
            if remaining < MIN_ATTEMPT_TIME {
                break;
            }
            let Some(outcome) = self.make_attempt(remaining).await else {
                continue;
            };
            if let Some(use_outcome) = self.handle_outcome(outcome).await {
                return use_outcome;
            }
        }
        UseOutcome::Rejected
    }

    /// Makes one attempt; `None` if the client abandons it.
    async fn make_attempt(&mut self, remaining: Duration) -> Option<ClientOutcome> {
        let is_retry = self.attempts > 0;
        self.attempts += 1;
        self.load.counters.attempts.increment();
        let address = self.load.addresses[self.aggregator];
        self.connection.redirect(address);
        let abandon_after = if is_retry {
            None
        } else {
            self.random_abandonment()
        };
        let late_tolerance = if abandon_after.is_some() {
            Duration::ZERO
        } else {
            LATE_TOLERANCE
        };
        let attempt = ClientAttempt {
            request_id: &format!("c{}-{}", self.current.id, self.attempts),
            is_retry,
            timeout: remaining,
            late_tolerance,
        };
        let sent_at = Instant::now();
        let outcome = self.send(&attempt, abandon_after).await?;
        if sent_at.elapsed() > remaining {
            self.load.counters.late.increment();
        }
        Some(outcome)
    }

    /// After how long the client abandons its first attempt, if it does.
    ///
    /// Only uses with an idempotency key are abandoned: the answer may have been sent already, and
    /// only with a key such a use is certainly counted once.
    fn random_abandonment(&mut self) -> Option<Duration> {
        let has_key = self.current.query.idempotency_key.is_some();
        if !has_key || !self.random.random_bool(ABANDON_PROBABILITY) {
            return None;
        }
        let milliseconds = self.random.random_range(ABANDON_AFTER_MS);
        Some(Duration::from_millis(milliseconds))
    }

    /// Sends an attempt; `None` if the client abandons it.
    async fn send(
        &mut self,
        attempt: &ClientAttempt<'_>,
        abandon_after: Option<Duration>,
    ) -> Option<ClientOutcome> {
        let response = self.connection.query(&self.current.query, attempt);
        let Some(abandon_after) = abandon_after else {
            return Some(response.await);
        };
        let outcome = timeout(abandon_after, response).await;
        if outcome.is_err() {
            self.abandon();
        }
        outcome.ok()
    }

    /// Closes the connection, and continues at another aggregator.
    fn abandon(&mut self) {
        self.load.counters.abandoned.increment();
        *self.connection = HttpConnection::new(self.load.addresses[self.aggregator]);
        self.switch_aggregator();
    }

    /// How the use ended with this outcome of an attempt; `None` if it is to be retried.
    async fn handle_outcome(&mut self, outcome: ClientOutcome) -> Option<UseOutcome> {
        match outcome {
            ClientOutcome::Answered { complete, hits } => Some(self.handle_answer(complete, &hits)),
            ClientOutcome::Rejected { retry_after } => {
                self.handle_rejection(retry_after).await;
                None
            }
            ClientOutcome::ConnectionLost => {
                self.handle_connection_loss();
                None
            }
            ClientOutcome::TimedOut => {
                self.load.counters.unanswered.increment();
                Some(UseOutcome::Failed)
            }
            ClientOutcome::Failed { .. } => Some(UseOutcome::Failed),
        }
    }

    fn handle_answer(&self, complete: bool, hits: &[ClientHit]) -> UseOutcome {
        if !is_correct_answer(self.current, complete, hits) {
            self.load.counters.wrong.increment();
        }
        if complete {
            UseOutcome::Complete
        } else {
            UseOutcome::Partial
        }
    }

    async fn handle_rejection(&mut self, retry_after: Option<Duration>) {
        self.load.counters.rejected.increment();
        let pause = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        sleep(pause.min(self.current.class.timeout())).await;
        if self.random.random_bool(SWITCH_AFTER_REJECTION_PROBABILITY) {
            self.switch_aggregator();
        }
    }

    fn handle_connection_loss(&mut self) {
        self.load.counters.lost.increment();
        if !self.load.was_killed(self.aggregator) {
            self.load.counters.unanswered.increment();
        }
        self.switch_aggregator();
    }

    fn switch_aggregator(&mut self) {
        self.aggregator = (self.aggregator + 1) % self.load.addresses.len();
        self.load.counters.crossed.increment();
    }
}
