//! One graceful shutdown of each aggregator of an installation, under load.

use crate::client::{ClientOptions, Habit, LoadPhase, RequestRecord, StressClient};
use aggregator_testkit::installation::{Aggregator, Installation};
use aggregator_testkit::process::Signal;
use aggregator_testkit::random;
use aggregator_testkit::test_program::TestProgramError;
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long clients ask before the shutdown, in milliseconds.
const LOAD_BEFORE_SHUTDOWN_MS: Range<u64> = 250..600;
/// How long after SIGTERM new connections keep coming, in milliseconds.
const NEW_CONNECTIONS_MS: Range<u64> = 200..400;
/// How long a process is held up, in milliseconds.
const HELD_UP_MS: Range<u64> = 20..150;
/// When a process is disturbed, in milliseconds after SIGTERM.
const DISTURBED_AT_MS: Range<u64> = 0..800;
/// The longest deadline that delays SIGKILL, and what comes on top of it.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How late an answer may be before its client stops waiting.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);
/// Stands for any time that a process may need.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a process is looked at.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// When SIGKILL is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPolicy {
    /// As soon as the platform may.
    AtTheEarliest,
    /// Only if the process hangs.
    Never,
}

/// What all shutdowns of a scenario have in common.
#[derive(Clone, Copy, Debug)]
pub struct RoundOptions {
    pub deadline: Duration,
    /// Clients of each aggregator.
    pub clients: u64,
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

    fn patience(&self) -> Duration {
        match self.kill {
            KillPolicy::AtTheEarliest => self.deadline + LATE_TOLERANCE,
            KillPolicy::Never => HANG_TIMEOUT,
        }
    }
}

/// A shutdown as its clients and the platform have seen it.
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
    /// How long the process was held up.
    pub held_up: Duration,
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
    sleep_ms(random.random_range(LOAD_BEFORE_SHUTDOWN_MS)).await;
    let requested_at = Instant::now();
    aggregator.send_signal(Signal::Terminate);
    let new_connections = Duration::from_millis(random.random_range(NEW_CONNECTIONS_MS));
    tokio::spawn(async move {
        sleep(new_connections).await;
        phase.send_replace(LoadPhase::NoNewConnections);
    });
    let mut disturbances = Disturbances::plan(requested_at, &mut random);
    let kill_after = options.kill_after();
    let end = wait_for_end(aggregator, requested_at, kill_after, &mut disturbances).await;
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
        held_up: disturbances.held_up,
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
        patience: options.patience(),
        phase: phase.clone(),
    };
    let seed = random.random();
    let mut clients = JoinSet::new();
    for number in 0..options.clients {
        let random = random::stream(seed, number);
        let client = StressClient::new(client_options.clone(), Habit::of(number), random);
        clients.spawn(client.run());
    }
    clients
}

/// A signal to the process beside the shutdown, and when it is sent.
#[derive(Clone, Copy)]
struct Disturbance {
    at: Instant,
    signal: Signal,
}

/// The disturbances of one shutdown, in their order.
struct Disturbances {
    pending: VecDeque<Disturbance>,
    held_up: Duration,
}

impl Disturbances {
    /// One shutdown in three holds its process up, another one reloads its configuration.
    fn plan(requested_at: Instant, random: &mut StdRng) -> Disturbances {
        let at = requested_at + Duration::from_millis(random.random_range(DISTURBED_AT_MS));
        let length = Duration::from_millis(random.random_range(HELD_UP_MS));
        let disturbance = |at: Instant, signal: Signal| Disturbance { at, signal };
        match random.random_range(0..3) {
            0 => Disturbances {
                pending: VecDeque::from([
                    disturbance(at, Signal::Stop),
                    disturbance(at + length, Signal::Continue),
                ]),
                held_up: length,
            },
            1 => Disturbances {
                pending: VecDeque::from([disturbance(at, Signal::Reload)]),
                held_up: Duration::ZERO,
            },
            _ => Disturbances {
                pending: VecDeque::new(),
                held_up: Duration::ZERO,
            },
        }
    }

    /// Sends the signals that are due.
    fn inject_due(&mut self, aggregator: &Aggregator) {
        let is_due = |next: &Disturbance| next.at <= Instant::now();
        while let Some(due) = self.pending.front().copied().filter(is_due) {
            aggregator.send_signal(due.signal);
            self.pending.pop_front();
        }
    }
}

struct ProcessEnd {
    duration: Duration,
    was_killed: bool,
    is_clean: bool,
}

/// Waits until the process has ended, disturbs it meanwhile, and kills it once that may be done.
async fn wait_for_end(
    aggregator: &mut Aggregator,
    requested_at: Instant,
    kill_after: Duration,
    disturbances: &mut Disturbances,
) -> ProcessEnd {
    let mut was_killed = false;
    loop {
        disturbances.inject_due(aggregator);
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

async fn sleep_ms(milliseconds: u64) {
    sleep(Duration::from_millis(milliseconds)).await;
}
