//! An engine that gets its inputs from a test instead of from sockets.

mod effects;
mod inputs;

pub use inputs::{address, query, MS, SETTINGS};

use aggregator_core::config;
use aggregator_core::engine::usage::{QueryUsage, UsageWatermark};
use aggregator_core::engine::{ClientId, ConnectionId, Engine, EngineOptions, Input};
use aggregator_core::protocol::leaf::{LeafRequest, LeafResponse, PartStatus};
use aggregator_core::protocol::query::{ClientRequest, QueryReply};
use bytes::Bytes;
use inputs::{endpoint_update, ListLine};
use std::collections::{BTreeMap, BTreeSet};

/// Time at which the engine starts, in nanoseconds.
pub const START: u64 = 1_000_000 * MS;
/// Maximum number of file descriptors of the engine.
const DESCRIPTORS: usize = 1024;
/// Memory limit of the process that runs the engine, in bytes.
pub const MEMORY_LIMIT: u64 = 128 * 1024 * 1024;
/// Value of `limits.streams_per_conn` in [`SETTINGS`].
const STREAMS_PER_CONNECTION: usize = 4;

/// A reply and the time at which it was sent, in nanoseconds.
#[derive(Debug)]
pub struct SentReply {
    pub at: u64,
    pub reply: QueryReply,
}

/// A frame and the connection on which it was written.
#[derive(Debug)]
pub struct SentFrame {
    pub connection: ConnectionId,
    pub frame: LeafRequest,
}

/// State of the socket of a connection to a leaf server.
#[derive(Debug)]
pub struct Socket {
    pub address: String,
    pub is_open: bool,
}

/// An engine with the state of the sockets, clients and leaf servers around it.
pub struct EngineHarness {
    pub engine: Engine,
    /// Current time, in nanoseconds.
    pub now: u64,
    pub replies: BTreeMap<ClientId, Vec<SentReply>>,
    /// Clients that have disconnected without being closed by the engine.
    pub disconnected: BTreeSet<ClientId>,
    pub connections: BTreeMap<ConnectionId, Socket>,
    /// All frames that were written, in order.
    pub frames: Vec<SentFrame>,
    /// Wire ids in flight on each connection, oldest first.
    pub in_flight: BTreeMap<ConnectionId, Vec<String>>,
    /// Clients that the engine has closed.
    pub closed_clients: Vec<ClientId>,
    pub is_listening: bool,
    pub has_exited: bool,
    /// Whether the sockets withhold the report that a frame was written.
    pub writes_are_stuck: bool,
    /// Whether client connections stay open after the engine has closed them.
    pub closes_are_pending: bool,
    pub records: Vec<QueryUsage>,
    pub watermarks: Vec<UsageWatermark>,
    /// Times at which watches on the endpoint list were started, in nanoseconds.
    pub watch_starts: Vec<u64>,
    /// Number of the latest watch.
    pub last_watch: u64,
    /// Status of each address in the endpoint list.
    status_by_address: BTreeMap<String, String>,
    /// Connections whose socket is writing a frame.
    writing: BTreeSet<ConnectionId>,
    last_client: ClientId,
    list_version: u64,
}

impl EngineHarness {
    /// Creates an engine with this number of replicas, all of them ready.
    pub fn new(replicas: u64) -> EngineHarness {
        EngineHarness::with_settings(SETTINGS, replicas)
    }

    /// Creates an engine with these settings and this number of ready replicas.
    pub fn with_settings(settings: &str, replicas: u64) -> EngineHarness {
        EngineHarness::with_seed(settings, replicas, 7)
    }

    /// Creates an engine whose policy uses this seed.
    pub fn with_seed(settings: &str, replicas: u64, seed: u64) -> EngineHarness {
        let ready = |replica| ListLine {
            replica,
            status: "up",
            started: 0,
        };
        let lines: Vec<_> = (1..=replicas).map(ready).collect();
        let options = EngineOptions {
            settings: config::parse_aggregator_settings(settings).unwrap(),
            policy_settings: config::parse_policy_settings(settings).unwrap(),
            policy_seed: seed,
            cached_endpoints: endpoint_update(1, true, &lines),
            max_descriptors: DESCRIPTORS,
            memory_limit: MEMORY_LIMIT,
        };
        let statuses = (1..=replicas).map(|replica| (address(replica), "up".to_string()));
        let mut harness = EngineHarness {
            engine: Engine::new(START, options),
            now: START,
            replies: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            connections: BTreeMap::new(),
            frames: Vec::new(),
            in_flight: BTreeMap::new(),
            closed_clients: Vec::new(),
            is_listening: true,
            has_exited: false,
            writes_are_stuck: false,
            closes_are_pending: false,
            records: Vec::new(),
            watermarks: Vec::new(),
            watch_starts: Vec::new(),
            last_watch: 0,
            status_by_address: statuses.collect(),
            writing: BTreeSet::new(),
            last_client: 0,
            list_version: 1,
        };
        harness.apply(Input::BatchEnded);
        harness
    }

    /// Applies one input and ends the batch after it.
    pub fn apply(&mut self, input: Input) {
        let mut effects = self.engine.apply(self.now, input);
        effects.extend(self.engine.apply(self.now, Input::BatchEnded));
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Advances the clock, and ends a batch whenever one is due.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some(due) = self.engine.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.apply(Input::BatchEnded);
        }
        self.now = end;
    }

    /// Connects a client under the next id.
    pub fn connect_client(&mut self) -> ClientId {
        self.last_client += 1;
        let client = self.last_client;
        self.apply(Input::ClientConnected { client });
        client
    }

    /// Sends a query with a timeout of 5 s from a new client.
    pub fn send_query(&mut self, class: u16, weights: &[f64]) -> ClientId {
        let client = self.connect_client();
        self.send_query_from(client, class, weights, 5000);
        client
    }

    /// Sends a query from a connected client.
    pub fn send_query_from(
        &mut self,
        client: ClientId,
        class: u16,
        weights: &[f64],
        timeout_ms: u64,
    ) {
        self.replies.entry(client).or_default();
        let query = query(&format!("q{client}"), class, weights, timeout_ms);
        self.send_request(client, ClientRequest::Query(query));
    }

    /// Sends a request that arrives at the current time.
    pub fn send_request(&mut self, client: ClientId, request: ClientRequest) {
        self.apply(Input::RequestReceived {
            client,
            arrived_at: self.now,
            request: Ok(request),
        });
    }

    /// Establishes a connection that the engine has initiated.
    pub fn open_connection(&mut self, connection: ConnectionId) {
        let socket = self.connections.get_mut(&connection);
        if let Some(socket) = socket.filter(|socket| !socket.is_open) {
            socket.is_open = true;
            self.apply(Input::ConnectionOpened { connection });
        }
    }

    /// Establishes all connections that the engine has initiated.
    pub fn open_all_connections(&mut self) {
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for connection in connections {
            self.open_connection(connection);
        }
    }

    /// Returns the oldest connection.
    pub fn first_connection(&self) -> ConnectionId {
        *self.connections.keys().next().unwrap()
    }

    /// Responds to the part that has been in flight for longest on a connection.
    pub fn respond_to_oldest(&mut self, connection: ConnectionId, status: PartStatus) {
        let in_flight = self.in_flight.entry(connection).or_default();
        if !in_flight.is_empty() {
            let id = in_flight.remove(0);
            self.respond(connection, &id, status);
        }
    }

    /// Responds to a part, whether or not it is in flight.
    pub fn respond(&mut self, connection: ConnectionId, id: &str, status: PartStatus) {
        let value = Bytes::from(format!("doc {id}"));
        let frame = LeafResponse::PartResult {
            id: id.to_string(),
            status,
            report: "-".into(),
            value,
        };
        self.apply(Input::FrameReceived { connection, frame });
    }

    /// Responds to all parts in flight, including those that are sent in the meantime.
    pub fn respond_to_all(&mut self) {
        let find_busy = |in_flight: &BTreeMap<ConnectionId, Vec<String>>| {
            let mut connections = in_flight.iter();
            let busy = connections.find(|(_, in_flight)| !in_flight.is_empty());
            busy.map(|(connection, _)| *connection)
        };
        while let Some(connection) = find_busy(&self.in_flight) {
            self.respond_to_oldest(connection, PartStatus::Ok);
        }
    }

    /// Sends a frame that cannot be decoded, with or without the id of the oldest part in flight.
    pub fn send_malformed(&mut self, connection: ConnectionId, with_id: bool) {
        let in_flight = self.in_flight.get(&connection);
        let oldest = in_flight.and_then(|in_flight| in_flight.first().cloned());
        let id = oldest.filter(|_| with_id);
        if self.connections[&connection].is_open {
            let frame = LeafResponse::Malformed(id);
            self.apply(Input::FrameReceived { connection, frame });
        }
    }

    /// Ends a connection as if it had failed.
    pub fn lose_connection(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.in_flight.remove(&connection);
        self.apply(Input::ConnectionClosed { connection });
    }

    /// Sets the status of an address, which decides whether frames may be written there.
    pub fn set_status_of_address(&mut self, address: &str, status: &str) {
        self.status_by_address
            .insert(address.to_string(), status.to_string());
    }

    /// Updates the line of one replica in the endpoint list.
    pub fn list_replica(&mut self, replica: u64, status: &str, started: u64) {
        self.list_version += 1;
        self.set_status_of_address(&address(replica), status);
        let line = ListLine {
            replica,
            status,
            started,
        };
        let update = endpoint_update(self.list_version, false, &[line]);
        self.apply(Input::EndpointsUpdated(update));
    }

    /// Disconnects the client that `selector` selects, unless it has disconnected before.
    pub fn disconnect_some_client(&mut self, selector: u64) {
        if self.last_client > 0 {
            let client = 1 + selector % self.last_client;
            if self.disconnected.insert(client) {
                self.apply(Input::ClientDisconnected { client });
            }
        }
    }

    /// Returns the latest reply to a client.
    pub fn last_reply(&self, client: ClientId) -> Option<&QueryReply> {
        let last = self.replies.get(&client)?.last()?;
        Some(&last.reply)
    }
}
