//! The engine: a single reducer that owns the entire state of an aggregator.
//!
//! The event loop passes [`Input`]s to [`Engine::apply`], which returns the [`Effect`]s that the
//! driver executes. The engine has no socket and no clock, so it is deterministic: the same inputs
//! at the same times yield the same effects. Inputs are turned into events. At the end of each
//! batch of inputs, the [`Policy`] handles the events, and the actions that it returns are executed
//! (`actions.rs`).
//!
//! The state is kept in one table per kind of entity, with private fields: `client_table`,
//! `connection_table` (each connection has a [`leaf_connection`] and an `idle_timer`),
//! `endpoint_table`, `query_table`, `recent_queries`, `attempt_table` and `watermark_tracker`. The
//! small tables of `health_checks`, `timers` and `shutdown` are defined in the same file as their
//! handlers. The other handlers are methods of [`Engine`] in `clients`, `connections`, `endpoints`,
//! `frames`, `queries`, `replies`, `attempts` and `usage_log`.

mod actions;
mod attempt_table;
mod attempts;
mod client_table;
mod clients;
mod connection_table;
mod connections;
pub mod counters;
mod effect;
mod endpoint_table;
mod endpoints;
mod frames;
mod health_checks;
mod idle_timer;
mod ids;
mod input;
pub mod leaf_connection;
mod load_reports;
mod log_throttle;
mod options;
mod queries;
mod query_table;
mod recent_queries;
mod replies;
mod shutdown;
mod timed_keys;
mod timers;
pub mod usage;
mod usage_log;
mod watermark_tracker;

pub use effect::Effect;
pub use ids::{AttemptId, ClientId, ConnectionId, HealthCheckId, WireId};
pub use input::Input;
pub use options::EngineOptions;

use crate::api::{EndpointUpdateKind, Event, Nanos};
use crate::config::AggregatorSettings;
use crate::protocol::discovery::EndpointUpdate;
use crate::Policy;
use attempt_table::AttemptTable;
use client_table::ClientTable;
use connection_table::ConnectionTable;
use counters::EngineCounters;
use endpoint_table::EndpointTable;
use endpoints::CurrentWatch;
use health_checks::HealthCheckTable;
use ids::IdAllocator;
use log_throttle::LogThrottles;
use query_table::OpenQueryTable;
use recent_queries::RecentQueries;
use shutdown::ShutdownState;
use timers::TimerQueue;
use watermark_tracker::WatermarkTracker;

/// One millisecond, in nanoseconds.
const MILLISECOND: Nanos = 1_000_000;

/// Share of the file descriptors for connections to leaf servers, in percent. Leaf servers and
/// clients have separate shares, so that neither can use up the descriptors of the other. In normal
/// operation each needs a third of the descriptors at most.
const LEAF_CONNECTION_PERCENT: usize = 40;
/// Share of the file descriptors for connections to clients, in percent.
const CLIENT_PERCENT: usize = 45;

/// Share of the memory limit for the requests of clients beyond the allowance of each connection,
/// in percent. The rest is for the connections themselves, the endpoint list and the program.
const CLIENT_MEMORY_PERCENT: u64 = 12;

/// Time within which a watch must be answered when discovery pushes the endpoint list. The local
/// agent answers immediately. Restarting an unanswered watch early yields the list soon after
/// discovery has become available again.
const PUSHED_LIST_TIMEOUT: Nanos = 1_000 * MILLISECOND;

/// Time within which a watch must be answered when the endpoint list is polled. It is longer
/// because a single service answers all aggregators in turn.
const POLLED_LIST_TIMEOUT: Nanos = 4_500 * MILLISECOND;

/// The state of an aggregator and the reducer that updates it.
pub struct Engine {
    settings: AggregatorSettings,
    policy: Policy,
    /// Events of the current batch that the policy has not handled yet.
    events: Vec<Event>,
    /// Effects that `apply` has not returned yet.
    effects: Vec<Effect>,
    ids: IdAllocator,
    timers: TimerQueue,
    endpoints: EndpointTable,
    watch: CurrentWatch,
    connections: ConnectionTable,
    clients: ClientTable,
    /// Memory for the requests of clients, in bytes.
    client_memory: usize,
    queries: OpenQueryTable,
    recent_queries: RecentQueries,
    attempts: AttemptTable,
    health_checks: HealthCheckTable,
    shutdown: ShutdownState,
    counters: EngineCounters,
    log_throttles: LogThrottles,
    /// `None` while usage is not recorded.
    watermarks: Option<WatermarkTracker>,
}

impl Engine {
    /// Creates an engine with the cached endpoint list. The first call of [`Engine::apply`] also
    /// returns the effects of the start.
    pub fn new(now: Nanos, options: EngineOptions) -> Engine {
        let EngineOptions {
            settings,
            policy_settings,
            policy_seed,
            cached_endpoints,
            max_descriptors,
            memory_limit,
        } = options;
        let is_list_polled = policy_settings.endpoint_list_polled;
        let answer_timeout = if is_list_polled {
            POLLED_LIST_TIMEOUT
        } else {
            PUSHED_LIST_TIMEOUT
        };
        let classes = policy_settings.classes.iter();
        let recent_queries = RecentQueries::new(classes.map(|class| class.idempotency).collect());
        let mut engine = Engine {
            endpoints: EndpointTable::new(settings.zones.clone()),
            settings,
            policy: Policy::new(policy_settings, policy_seed),
            events: Vec::new(),
            effects: Vec::new(),
            ids: IdAllocator::default(),
            timers: TimerQueue::default(),
            watch: CurrentWatch::new(answer_timeout),
            connections: ConnectionTable::new(max_descriptors * LEAF_CONNECTION_PERCENT / 100),
            clients: ClientTable::new(max_descriptors * CLIENT_PERCENT / 100),
            client_memory: client_memory(memory_limit),
            queries: OpenQueryTable::default(),
            recent_queries,
            attempts: AttemptTable::default(),
            health_checks: HealthCheckTable::default(),
            shutdown: ShutdownState::default(),
            counters: EngineCounters::default(),
            log_throttles: LogThrottles::default(),
            watermarks: None,
        };
        engine.load_cached_endpoints(&cached_endpoints);
        // When the list is polled, the policy starts the first watch itself, at a random time.
        if !is_list_polled {
            engine.start_watch();
        }
        engine.end_batch(now);
        engine
    }

    fn load_cached_endpoints(&mut self, cached: &EndpointUpdate) {
        let entries = self.endpoints.apply(cached).entries;
        self.events.push(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Cached,
            entries,
        });
    }

    /// Returns the version of the current endpoint list, from which a new watch continues.
    pub fn endpoints_version(&self) -> u64 {
        self.endpoints.version()
    }

    /// Returns the maximum number of connected clients.
    pub fn max_clients(&self) -> usize {
        self.clients.capacity()
    }

    /// Returns the memory for the requests of all clients beyond the allowance of each connection,
    /// in bytes.
    pub fn client_memory(&self) -> usize {
        self.client_memory
    }

    /// Returns the time at which the current batch must end even if no further input arrives.
    /// `Some(0)` means immediately, `None` that neither an event nor a timer is pending.
    pub fn next_due(&self) -> Option<Nanos> {
        if !self.events.is_empty() {
            return Some(0);
        }
        self.timers.next_due()
    }

    /// Returns the number of entries in all tables. It is bounded as long as the load is bounded,
    /// no matter how many replicas, clients and query ids have come and gone.
    pub fn retained_entries(&self) -> usize {
        self.queries.entries()
            + self.recent_queries.len()
            + self.attempts.len()
            + self.clients.len()
            + self.connections.len()
            + self.health_checks.len()
            + self.timers.len()
            + self.endpoints.len()
            + self.policy.retained_records()
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// Applies one input at time `now` and returns the effects in the order in which they must be
    /// executed.
    ///
    /// Frames are written only at [`Input::BatchEnded`], so that a disconnected client, a draining
    /// replica or a shutdown takes precedence over a connection that opened in the same batch.
    pub fn apply(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        self.handle(now, input);
        self.maybe_exit();
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, now: Nanos, input: Input) {
        match input {
            Input::FrontendStarted => self.on_frontend_started(),
            Input::FrontendStopped => self.on_frontend_stopped(),
            Input::ClientConnected { client } => self.on_client_connected(now, client),
            Input::RequestReceived {
                client,
                arrived_at,
                request,
            } => self.on_request(now, client, arrived_at, request),
            Input::ClientDisconnected { client } => self.on_client_disconnected(now, client),
            Input::ConnectionOpened { connection } => self.connections.on_opened(connection, now),
            Input::FrameWritten { connection } => self.connections.on_frame_written(connection),
            Input::FrameReceived { connection, frame } => {
                self.on_frame_received(now, connection, frame);
            }
            Input::ConnectionClosed { connection } => self.on_connection_closed(now, connection),
            Input::EndpointsUpdated(update) => self.on_endpoints_updated(now, &update),
            Input::GossipReceived { from, bytes } => {
                self.events.push(Event::GossipReceived { from, bytes });
            }
            Input::WatchEnded { watch } => self.on_watch_ended(watch),
            Input::ConfigurationReloaded { is_valid } => self.on_configuration_reloaded(is_valid),
            Input::ShutdownRequested => self.on_shutdown_requested(now),
            Input::InputsEnded => self.record_final_watermark(),
            Input::BatchEnded => {
                self.end_batch(now);
                self.flush_pending_writes(now);
            }
        }
    }
}

fn client_memory(memory_limit: u64) -> usize {
    let bytes = memory_limit / 100 * CLIENT_MEMORY_PERCENT;
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
