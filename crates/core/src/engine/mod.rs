//! The engine: one reducer that owns the whole state of an aggregator.
//!
//! Data flows from the sockets as [`Input`]s into [`Engine::apply`], which returns [`Effect`]s for
//! the sockets. The engine has neither a socket nor a clock, so it is deterministic: the same
//! inputs at the same times yield the same effects. Inputs become events; at the end of each batch
//! of inputs the [`Policy`] decides on them, and its actions are executed (`actions.rs`).
//!
//! The state is in tables, one for each kind of thing, which keep their fields private:
//! `client_table`, `connection_table` (a [`leaf_connection`] and an `idle_timer` a connection),
//! `endpoint_table`, `query_table`, `attempt_table` and `watermark_tracker`; the small ones of
//! `health_checks`, `timers` and `shutdown` are in the same file as their handlers. The handlers
//! are methods of [`Engine`]: `clients`, `connections`, `endpoints`, `frames`, `queries`,
//! `replies`, `attempts` and `usage_log`.

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
mod options;
mod queries;
mod query_table;
mod replies;
mod shutdown;
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
use query_table::OpenQueryTable;
use shutdown::ShutdownState;
use timers::TimerQueue;
use watermark_tracker::WatermarkTracker;

/// In nanoseconds.
const MILLISECOND: Nanos = 1_000_000;

/// The shares of the file descriptors, in percent, for connections to leaf servers and to clients.
/// Neither kind can use up the share of the other. In normal operation each needs a third at most.
const LEAF_CONNECTION_PERCENT: usize = 40;
const CLIENT_PERCENT: usize = 45;

/// How long a watch may take to answer where the list is pushed. The local agent answers at once; a
/// watch without an answer is soon restarted, to get the list once discovery is available again.
const PUSHED_LIST_TIMEOUT: Nanos = 1_000 * MILLISECOND;

/// How long a watch may take to answer where the list is polled: a single service answers all
/// aggregators in turn.
const POLLED_LIST_TIMEOUT: Nanos = 4_500 * MILLISECOND;

/// The state of an aggregator.
pub struct Engine {
    settings: AggregatorSettings,
    policy: Policy,
    /// Events of this batch, on which the policy has not decided yet.
    events: Vec<Event>,
    /// Effects that `apply` has not returned yet.
    effects: Vec<Effect>,
    ids: IdAllocator,
    timers: TimerQueue,
    endpoints: EndpointTable,
    watch: CurrentWatch,
    connections: ConnectionTable,
    clients: ClientTable,
    queries: OpenQueryTable,
    attempts: AttemptTable,
    health_checks: HealthCheckTable,
    shutdown: ShutdownState,
    counters: EngineCounters,
    /// None while no usage is recorded.
    watermarks: Option<WatermarkTracker>,
}

impl Engine {
    /// Starts an engine. The effects of its start are returned by the first call of
    /// [`Engine::apply`].
    pub fn new(now: Nanos, options: EngineOptions) -> Engine {
        let EngineOptions {
            settings,
            policy_settings,
            policy_seed,
            cached_endpoints,
            max_descriptors,
        } = options;
        let list_is_polled = policy_settings.endpoint_list_polled;
        let answer_timeout = if list_is_polled {
            POLLED_LIST_TIMEOUT
        } else {
            PUSHED_LIST_TIMEOUT
        };
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
            queries: OpenQueryTable::default(),
            attempts: AttemptTable::default(),
            health_checks: HealthCheckTable::default(),
            shutdown: ShutdownState::default(),
            counters: EngineCounters::default(),
            watermarks: None,
        };
        engine.load_cached_endpoints(&cached_endpoints);
        // Where the list is polled, the policy starts the first watch, at a random time.
        if !list_is_polled {
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

    /// The version of the current endpoint list, from which a watch continues.
    pub fn endpoints_version(&self) -> u64 {
        self.endpoints.version()
    }

    /// The most clients that may be connected.
    pub fn max_clients(&self) -> usize {
        self.clients.capacity()
    }

    /// When a batch has to end next, even if there is no input until then. 0 stands for at once.
    pub fn next_due(&self) -> Option<Nanos> {
        if !self.events.is_empty() {
            return Some(0);
        }
        self.timers.next_due()
    }

    /// The number of entries in all tables. While the load is bounded it is too, however many
    /// replicas, clients and queries with new names there were.
    pub fn retained_entries(&self) -> usize {
        self.queries.entries()
            + self.attempts.len()
            + self.clients.len()
            + self.connections.len()
            + self.health_checks.len()
            + self.timers.len()
            + self.endpoints.len()
            + self.policy.retained_records()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// Applies one input at `now` and returns the effects, in the order to carry them out.
    ///
    /// Frames are only written at [`Input::BatchEnded`], so that a disconnected client, a draining
    /// replica or a shutdown takes precedence over a connection that was opened in the same batch.
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
            Input::ConfigurationReloaded { usable } => self.on_configuration_reloaded(usable),
            Input::ShutdownRequested => self.on_shutdown_requested(now),
            Input::InputsEnded => self.record_final_watermark(),
            Input::BatchEnded => {
                self.end_batch(now);
                self.flush_pending_writes(now);
            }
        }
    }
}
