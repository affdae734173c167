//! One graceful shutdown of each aggregator of an installation, under load.

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

/// How long clients send requests before the shutdown, in milliseconds.
const LOAD_BEFORE_SHUTDOWN_MS: Range<u64> = 250..600;
/// How long after SIGTERM there are new connections, in milliseconds.
const NEW_CONNECTIONS_MS: Range<u64> = 200..400;
/// The part of the clients' deadline by which the platform delays SIGKILL, at most.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The time between that deadline and SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How late an answer may be before its client stops waiting.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);
/// A process that needs longer hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the end of a process is checked.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// When SIGKILL is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPolicy {
    /// As early as the platform may send it.
    AtTheEarliest,
    /// Only if the process hangs.
    Never,
}

/// What all shutdowns of a scenario have in common.
#[derive(Clone, Copy, Debug)]
pub struct RoundOptions {
    /// The timeout that each request states.
    pub deadline: Duration,
    /// Clients of each aggregator.
    pub clients: u64,
    /// When SIGKILL is sent.
    pub kill: KillPolicy,
}

impl RoundOptions {
    /// How long after SIGTERM the process is killed.
    fn kill_after(&self) -> Duration {
        match self.kill {
            KillPolicy::AtTheEarliest => self.deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE,
            KillPolicy::Never => HANG_TIMEOUT,
        }
    }

    /// How long clients wait for the answer to a query.
    fn answer_limit(&self) -> Duration {
        match self.kill {
            KillPolicy::AtTheEarliest => self.deadline + LATE_TOLERANCE,
            KillPolicy::Never => HANG_TIMEOUT,
        }
    }
}

/// What clients and the platform have recorded of a shutdown.
pub struct Shutdown {
    /// The aggregator's name.
    pub aggregator: String,
    /// When SIGTERM was sent.
    pub requested_at: Instant,
    /// How long after that the process ended.
    pub duration: Duration,
    /// The process was killed.
    pub was_killed: bool,
    /// The process exited with success.
    pub is_clean: bool,
    /// How long the process was suspended.
    pub suspended_for: Duration,
    /// All requests of its clients.
    pub requests: Vec<RequestRecord>,
    /// What the process has logged.
    pub log: String,
}

/// Loads and shuts down all aggregators at once, and starts them again.
pub async fn run(
    installation: &mut Installation,
    options: RoundOptions,
    seed: u64,
) -> Result<Vec<Shutdown>, TestProgramError> {
    let mut shutdowns = Vec::new();
    let aggregators = installation.aggregators.iter_mut().enumerate();
    let rounds = aggregators.map(|(index, aggregator)| {
        let random = random::stream(seed, index as u64);
        shut_down(aggregator, options, random)
    });
    for shutdown in futures_util::future::join_all(rounds).await {
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
    let earlier_log = aggregator.log_text().len();
    let (phase, receiver) = watch::channel(LoadPhase::Serving);
    let mut clients = start_clients(aggregator, options, &mut random, &receiver);
    let load_time = Duration::from_millis(random.random_range(LOAD_BEFORE_SHUTDOWN_MS));
    sleep(load_time).await;
    let requested_at = Instant::now();
    aggregator.send_signal(Signal::Terminate);
    let connecting_for = Duration::from_millis(random.random_range(NEW_CONNECTIONS_MS));
    tokio::spawn(async move {
        sleep(connecting_for).await;
        phase.send_replace(LoadPhase::NoNewConnections);
    });
    let mut faults = ProcessFaults::random(requested_at, &mut random);
    let kill_after = options.kill_after();
    let end = wait_for_end(aggregator, requested_at, kill_after, &mut faults).await;
    let mut requests = Vec::new();
    while let Some(records) = clients.join_next().await {
        requests.extend(records?);
    }
    Ok(Shutdown {
        aggregator: aggregator.name.clone(),
        requested_at,
        duration: end.duration,
        was_killed: end.was_killed,
        is_clean: end.is_clean,
        suspended_for: faults.suspended_for(),
        requests,
        log: aggregator.log_text().split_off(earlier_log),
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
        deadline: options.deadline,
        answer_limit: options.answer_limit(),
        phase: phase.clone(),
    };
    let seed = random.random();
    let mut clients = JoinSet::new();
    for number in 0..options.clients {
        let random = random::stream(seed, number);
        let client = StressClient::new(client_options.clone(), ClientBehavior::of(number), random);
        clients.spawn(client.run());
    }
    clients
}

struct ProcessEnd {
    duration: Duration,
    was_killed: bool,
    is_clean: bool,
}

/// Waits until the process has ended, injects its faults meanwhile, and kills it after
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
