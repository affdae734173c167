//! A complete aggregator on loopback sockets. The test acts as all other processes, one step
//! after the other, so that it controls which events cross each other.

pub mod client;
pub mod discovery;
pub mod leaf_server;

use super::engine_harness::MEMORY_LIMIT;
use aggregator_core::config::{parse_aggregator_settings, parse_policy_settings, Addresses};
use aggregator_core::engine::{Engine, EngineOptions};
use aggregator_core::net::{self, Clock, Extensions, OperatorSignal};
use aggregator_core::protocol::discovery::EndpointUpdate;
use aggregator_core::protocol::query::NameTables;
use discovery::{endpoint, snapshot};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{timeout, Duration};

/// Time after which a test gives up waiting. With [`TestTime::Paused`], this takes no real time.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval between usage watermarks, in nanoseconds.
const USAGE_WATERMARK_INTERVAL_NS: u64 = 1_000_000_000;
/// Seed of the policy's random numbers.
const POLICY_SEED: u64 = 7;

/// A running aggregator, and the sockets of the processes that it is connected to.
pub struct SocketHarness {
    /// Address on which the aggregator accepts clients.
    pub aggregator: SocketAddr,
    /// Sends signals to the aggregator.
    pub signals: mpsc::Sender<OperatorSignal>,
    /// Accepts the aggregator's watches.
    pub discovery: TcpListener,
    /// Accepts the aggregator's connections to the leaf server.
    pub leaf: TcpListener,
    /// Task of the aggregator, which yields the result of [`net::serve`].
    pub aggregator_task: JoinHandle<io::Result<()>>,
}

impl SocketHarness {
    /// Requests a graceful shutdown.
    pub async fn request_shutdown(&self) {
        let shutdown = OperatorSignal::Shutdown;
        self.signals.send(shutdown).await.unwrap();
    }

    /// Waits until the aggregator has exited, and expects success.
    pub async fn expect_exit(self) {
        let result = timeout(HANG_TIMEOUT, self.aggregator_task).await;
        assert!(result
            .expect("the aggregator should exit in time")
            .unwrap()
            .is_ok());
    }
}

/// Cached endpoint list with which an aggregator is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachedList {
    /// A list with the leaf server of the harness.
    OneEndpoint,
    /// A list without leaf servers.
    Empty,
    /// No list was ever received.
    Missing,
}

impl CachedList {
    fn endpoint_update(self, leaf: SocketAddr) -> EndpointUpdate {
        let endpoints = match self {
            CachedList::OneEndpoint => vec![endpoint(leaf, "up")],
            CachedList::Empty => Vec::new(),
            CachedList::Missing => return EndpointUpdate::default(),
        };
        serde_json::from_value(snapshot(2, &endpoints)).unwrap()
    }
}

/// Clock of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestTime {
    Real,
    /// The clock is paused while any task is ready. Otherwise, it advances to the next timer.
    Paused,
}

/// Parameters with which an aggregator is started.
pub struct SocketScenario<'a> {
    /// Settings as lines of `key=value`.
    pub settings: &'a str,
    /// Maximum number of file descriptors, which limits the number of clients.
    pub descriptors: usize,
    /// Memory limit in bytes, which limits what is held for the requests of clients.
    pub memory_limit: u64,
    pub cached_list: CachedList,
    pub time: TestTime,
    /// Optional components. If there is a usage recorder, the engine records usage.
    pub extensions: Extensions,
}

impl<'a> SocketScenario<'a> {
    /// Creates a scenario with one leaf server on the cached list, paused time and no extensions.
    pub fn new(settings: &'a str, descriptors: usize) -> SocketScenario<'a> {
        SocketScenario {
            settings,
            descriptors,
            memory_limit: MEMORY_LIMIT,
            cached_list: CachedList::OneEndpoint,
            time: TestTime::Paused,
            extensions: Extensions::default(),
        }
    }

    /// Starts the aggregator and runs `test` with it.
    pub fn run<F: Future<Output = ()>>(self, test: impl FnOnce(SocketHarness) -> F) {
        let is_paused = self.time == TestTime::Paused;
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime
            .enable_all()
            .start_paused(is_paused)
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, async {
            test(self.start().await).await;
        });
    }

    async fn start(self) -> SocketHarness {
        let (discovery, discovery_address) = listener().await;
        let (leaf, leaf_address) = listener().await;
        let (clients, aggregator) = listener().await;
        let clock = Clock::start();
        let cached_list = self.cached_list.endpoint_update(leaf_address);
        let (signals, received_signals) = mpsc::channel(1);
        let aggregator_task = tokio::task::spawn_local(net::serve(
            self.engine(&clock, cached_list),
            clock,
            name_tables(self.settings),
            clients,
            addresses(discovery_address),
            received_signals,
            self.extensions,
        ));
        SocketHarness {
            aggregator,
            signals,
            discovery,
            leaf,
            aggregator_task,
        }
    }

    fn engine(&self, clock: &Clock, cached_endpoints: EndpointUpdate) -> Engine {
        let options = EngineOptions {
            settings: parse_aggregator_settings(self.settings).unwrap(),
            policy_settings: parse_policy_settings(self.settings).unwrap(),
            policy_seed: POLICY_SEED,
            cached_endpoints,
            max_descriptors: self.descriptors,
            memory_limit: self.memory_limit,
        };
        let mut engine = Engine::new(clock.now(), options);
        if self.extensions.recorder.is_some() {
            engine.record_usage(USAGE_WATERMARK_INTERVAL_NS);
        }
        engine
    }
}

/// Runs `test` with an aggregator that has one leaf server on its cached list, in paused time.
pub fn run_scenario<F: Future<Output = ()>>(
    settings: &str,
    descriptors: usize,
    test: impl FnOnce(SocketHarness) -> F,
) {
    SocketScenario::new(settings, descriptors).run(test);
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn name_tables(settings: &str) -> NameTables {
    let settings = parse_aggregator_settings(settings).unwrap();
    NameTables {
        classes: settings.classes,
        deadlines: settings.deadlines,
        shards: settings.shards,
        ..NameTables::default()
    }
}

/// Returns the addresses for an aggregator without gossip.
pub fn addresses(discovery: SocketAddr) -> Addresses {
    Addresses {
        discovery,
        gossip_listen: None,
        peers: Vec::new(),
        gossip_broadcast: None,
    }
}
