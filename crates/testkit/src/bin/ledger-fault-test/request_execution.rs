//! Execution of one logical request: attempts until the request is answered or fails, its timeout
//! has passed, or the maximum number of attempts is reached.

use crate::answer_check::is_correct_answer;
use crate::load::LedgerLoad;
use crate::logical_request::{ClientLogicalRequest, ClientRequestOutcome, ClientRequestRecord};
use aggregator_testkit::client::{ClientAttempt, ClientHit, ClientOutcome, HttpConnection};
use aggregator_testkit::installation::now_ms;
use rand::rngs::StdRng;
use rand::Rng;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

const MAX_ATTEMPTS: u32 = 8;
/// Remaining time below which no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);
/// Time after the timeout during which a client waits, to tell late responses from missing ones.
const LATE_TOLERANCE: Duration = Duration::from_secs(3);
/// Pause after a rejection without `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
const ABANDON_PROBABILITY: f64 = 0.01;
/// Range of the time after which a client abandons an attempt, in milliseconds.
const ABANDON_AFTER_MS: Range<u64> = 1..12;
const SWITCH_AFTER_REJECTION_PROBABILITY: f64 = 0.5;

/// Logical request in execution.
pub struct RequestExecution<'a> {
    load: &'a LedgerLoad,
    connection: &'a mut HttpConnection,
    random: &'a mut StdRng,
    request: &'a ClientLogicalRequest,
    /// Index of the aggregator to which the next attempt is sent.
    aggregator: usize,
    attempts: u32,
}

impl<'a> RequestExecution<'a> {
    /// Prepares a request whose first attempt goes to the aggregator at index `home_aggregator`.
    pub fn new(
        load: &'a LedgerLoad,
        connection: &'a mut HttpConnection,
        random: &'a mut StdRng,
        request: &'a ClientLogicalRequest,
        home_aggregator: usize,
    ) -> RequestExecution<'a> {
        RequestExecution {
            load,
            connection,
            random,
            request,
            aggregator: home_aggregator,
            attempts: 0,
        }
    }

    /// Makes attempts until the request is answered or fails, its timeout has passed, or the
    /// maximum number of attempts is reached. Returns the record of the request.
    pub async fn run(mut self) -> ClientRequestRecord {
        let started_ms = now_ms();
        let outcome = self.run_attempts().await;
        ClientRequestRecord {
            started_ms,
            tenant: self.request.tenant,
            class: self.request.class.name,
            outcome,
            attempts: self.attempts,
            join_key: self.request.join_key(),
        }
    }

    async fn run_attempts(&mut self) -> ClientRequestOutcome {
        let started = Instant::now();
        let request_timeout = self.request.class.timeout();
        while self.attempts < MAX_ATTEMPTS {
            let remaining_time = request_timeout.saturating_sub(started.elapsed());
            if remaining_time < MIN_ATTEMPT_TIME {
                break;
            }
            let Some(outcome) = self.make_attempt(remaining_time).await else {
                continue;
            };
            if let Some(request_outcome) = self.handle_outcome(outcome).await {
                return request_outcome;
            }
        }
        ClientRequestOutcome::Rejected
    }

    /// Makes one attempt. Returns `None` if the client abandons the attempt.
    async fn make_attempt(&mut self, remaining_time: Duration) -> Option<ClientOutcome> {
        let is_retry = self.attempts > 0;
        self.attempts += 1;
        self.load.counters.attempts.increment();
        let address = self.load.addresses[self.aggregator];
        self.connection.redirect(address);
        let abandon_after = if is_retry {
            None
        } else {
            self.random_abandon_delay()
        };
        let late_tolerance = if abandon_after.is_some() {
            Duration::ZERO
        } else {
            LATE_TOLERANCE
        };
        let attempt = ClientAttempt {
            request_id: &format!("c{}-{}", self.request.id, self.attempts),
            is_retry,
            timeout: remaining_time,
            late_tolerance,
        };
        let sent_at = Instant::now();
        let outcome = self.send(&attempt, abandon_after).await?;
        if sent_at.elapsed() > remaining_time {
            self.load.counters.late.increment();
        }
        Some(outcome)
    }

    /// Decides at random whether the client abandons its first attempt. Returns the delay after
    /// which the client does so, or `None`.
    ///
    /// Only requests with an idempotency key are abandoned: the aggregator may already have sent
    /// the answer, and only with a key is the request still certain to be counted once.
    fn random_abandon_delay(&mut self) -> Option<Duration> {
        let has_key = self.request.query.idempotency_key.is_some();
        if !has_key || !self.random.random_bool(ABANDON_PROBABILITY) {
            return None;
        }
        let milliseconds = self.random.random_range(ABANDON_AFTER_MS);
        Some(Duration::from_millis(milliseconds))
    }

    /// Sends an attempt. Returns `None` if the client abandons the attempt.
    async fn send(
        &mut self,
        attempt: &ClientAttempt<'_>,
        abandon_after: Option<Duration>,
    ) -> Option<ClientOutcome> {
        let response = self.connection.query(&self.request.query, attempt);
        let Some(abandon_after) = abandon_after else {
            return Some(response.await);
        };
        let outcome = timeout(abandon_after, response).await;
        if outcome.is_err() {
            self.abandon();
        }
        outcome.ok()
    }

    /// Closes the connection and switches to another aggregator.
    fn abandon(&mut self) {
        self.load.counters.abandoned.increment();
        *self.connection = HttpConnection::new(self.load.addresses[self.aggregator]);
        self.switch_aggregator();
    }

    /// Handles the outcome of an attempt. Returns the outcome of the request, or `None` to retry.
    async fn handle_outcome(&mut self, outcome: ClientOutcome) -> Option<ClientRequestOutcome> {
        match outcome {
            ClientOutcome::Answered { is_complete, hits } => {
                Some(self.handle_answer(is_complete, &hits))
            }
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
                Some(ClientRequestOutcome::Failed)
            }
            ClientOutcome::Failed { .. } => Some(ClientRequestOutcome::Failed),
        }
    }

    fn handle_answer(&self, is_complete: bool, hits: &[ClientHit]) -> ClientRequestOutcome {
        if !is_correct_answer(self.request, is_complete, hits) {
            self.load.counters.incorrect.increment();
        }
        if is_complete {
            ClientRequestOutcome::Complete
        } else {
            ClientRequestOutcome::Partial
        }
    }

    async fn handle_rejection(&mut self, retry_after: Option<Duration>) {
        self.load.counters.rejected.increment();
        let pause = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        sleep(pause.min(self.request.class.timeout())).await;
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
