//! One round: a graceful shutdown of each aggregator of an installation, under load.

use crate::client::{ClientOptions, LoadPhase, StressClient};
use crate::process_faults::ProcessFaults;
use crate::request_record::{ClientBehavior, RequestRecord};
use aggregator_testkit::installation::{Aggregator, Installation};
use aggregator_testkit::process::Signal;
use aggregator_testkit::random;
use aggregator_testkit::test_program::TestProgramError;
use rand::rngs::StdRng;
use rand::Rng;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Range of the time of load before the shutdown, in milliseconds.
const LOAD_BEFORE_SHUTDOWN_MS: Range<u64> = 250..600;
/// Range of the time after SIGTERM during which clients still connect, in milliseconds.
const CONNECT_AFTER_SIGTERM_MS: Range<u64> = 200..400;
/// Longest client timeout that the platform waits for before SIGKILL.
const MAX_TIMEOUT_BEFORE_KILL: Duration = Duration::from_secs(3);
/// Time between the end of that timeout and SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time after the client timeout during which a client still accepts a late answer.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);
/// Time after SIGTERM at which a process that has not exited counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// When SIGKILL is sent to a process that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPolicy {
    /// At the earliest time at which the platform may send it.
    Earliest,
    /// Only if the process has not exited after [`HANG_TIMEOUT`].
    IfHanging,
}

/// Options shared by all shutdowns of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct RoundOptions {
    /// Client timeout sent with each query.
    pub client_timeout: Duration,
    /// Number of clients of each aggregator.
    pub clients: u64,
    /// When SIGKILL is sent.
    pub kill: KillPolicy,
}

impl RoundOptions {
    /// Returns the time between SIGTERM and SIGKILL.
    fn kill_after(&self) -> Duration {
        match self.kill {
            KillPolicy::Earliest => self.client_timeout.min(MAX_TIMEOUT_BEFORE_KILL) + KILL_GRACE,
            KillPolicy::IfHanging => HANG_TIMEOUT,
        }
    }

    /// Returns the time after which clients stop waiting for the answer to a query.
    fn answer_limit(&self) -> Duration {
        match self.kill {
            KillPolicy::Earliest => self.client_timeout + LATE_TOLERANCE,
            KillPolicy::IfHanging => HANG_TIMEOUT,
        }
    }
}

/// Record of one shutdown, as seen by clients and the platform.
pub struct Shutdown {
    /// Name of the aggregator.
    pub aggregator: String,
    /// Time at which SIGTERM was sent.
    pub requested_at: Instant,
    /// Time between SIGTERM and the exit of the process.
    pub duration: Duration,
    /// Whether the process was killed.
    pub was_killed: bool,
    /// Whether the process exited successfully.
    pub is_clean: bool,
    /// Length of the suspension of the process; zero if there was none.
    pub suspended_for: Duration,
    /// Records of all requests of the aggregator's clients.
    pub requests: Vec<RequestRecord>,
    /// Log of the process.
    pub log: String,
}

/// Shuts down all aggregators at the same time under load, and starts them again.
pub async fn run(
    installation: &mut Installation,
    options: RoundOptions,
    seed: u64,
) -> Result<Vec<Shutdown>, TestProgramError> {
    let mut shutdowns = Vec::new();
    let aggregators = installation.aggregators.iter_mut().enumerate();
    let shutdown_futures = aggregators.map(|(index, aggregator)| {
        let random = random::stream(seed, index as u64);
        shut_down(aggregator, options, random)
    });
    for shutdown in futures_util::future::join_all(shutdown_futures).await {
        shutdowns.push(shutdown?);
    }
    for index in 0..installation.aggregators.len() {
        installation.start_aggregator(index).await?;
    }
    Ok(shutdowns)
}

async fn shut_down(
    aggregator: &mut Aggregator,
    options: RoundOptions,
    mut random: StdRng,
) -> Result<Shutdown, TestProgramError> {
    let earlier_log_length = aggregator.log_text().len();
    let (phase, receiver) = watch::channel(LoadPhase::Serving);
    let mut clients = start_clients(aggregator, options, &mut random, &receiver);
    let load_time = Duration::from_millis(random.random_range(LOAD_BEFORE_SHUTDOWN_MS));
    sleep(load_time).await;
    let requested_at = Instant::now();
    aggregator.send_signal(Signal::Terminate);
    let connect_time = Duration::from_millis(random.random_range(CONNECT_AFTER_SIGTERM_MS));
    tokio::spawn(async move {
        sleep(connect_time).await;
        phase.send_replace(LoadPhase::NoNewConnections);
    });
    let mut faults = ProcessFaults::random(requested_at, &mut random);
    let kill_after = options.kill_after();
    let process_end = wait_for_end(aggregator, requested_at, kill_after, &mut faults).await;
    let mut requests = Vec::new();
    while let Some(records) = clients.join_next().await {
        requests.extend(records?);
    }
    Ok(Shutdown {
        aggregator: aggregator.name.clone(),
        requested_at,
        duration: process_end.duration,
        was_killed: process_end.was_killed,
        is_clean: process_end.is_clean,
        suspended_for: faults.suspended_for(),
        requests,
        log: aggregator.log_text().split_off(earlier_log_length),
    })
}

fn start_clients(
    aggregator: &Aggregator,
    options: RoundOptions,
    random: &mut StdRng,
    phase: &watch::Receiver<LoadPhase>,
) -> JoinSet<Vec<RequestRecord>> {
    let client_options = ClientOptions {
        address: aggregator.address,
        gateway_address: aggregator.gateway_address,
        client_timeout: options.client_timeout,
        answer_limit: options.answer_limit(),
        phase: phase.clone(),
    };
    let seed = random.random();
    let mut clients = JoinSet::new();
    for client_number in 0..options.clients {
        let random = random::stream(seed, client_number);
        let client = StressClient::new(
            client_options.clone(),
            ClientBehavior::of_client(client_number),
            random,
        );
        clients.spawn(client.run());
    }
    clients
}

struct ProcessEnd {
    duration: Duration,
    was_killed: bool,
    is_clean: bool,
}

/// Waits until the process has exited. Injects faults until then, and kills the process after
/// `kill_after`.
async fn wait_for_end(
    aggregator: &mut Aggregator,
    requested_at: Instant,
    kill_after: Duration,
    faults: &mut ProcessFaults,
) -> ProcessEnd {
    let mut was_killed = false;
    loop {
        faults.inject_due(aggregator);
        if let Some(status) = aggregator.exit_status() {
            return ProcessEnd {
                duration: requested_at.elapsed(),
                was_killed,
                is_clean: status.success(),
            };
        }
        if !was_killed && requested_at.elapsed() >= kill_after {
            was_killed = aggregator.send_signal(Signal::Kill);
        }
        sleep(EXIT_POLL_INTERVAL).await;
    }
}
