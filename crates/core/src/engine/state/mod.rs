//! The one state and its changes.

mod attempts;
mod clients;
mod connections;
mod turns;
mod usage;

use super::counters::Counters;
use super::leaf_connection::{AttemptId, LeafConnection, Phase};
use super::messages::{ClientId, ConnectionId, Effect, Input};
use super::replicas::Replicas;
use super::usage::JoinKey;
use crate::api::*;
use crate::config::AggregatorSettings;
use crate::protocol::discovery::EndpointUpdate;
use crate::Policy;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use usage::Recording;

const MS: Nanos = 1_000_000;
/// Taken off what a client waits: the ways there and back and a late turn of ours.
const MARGIN: Nanos = 8 * MS;
/// After SIGTERM new connections still arrive and clients use theirs for 0.7 s: so long all goes
/// on.
const GRACE: Nanos = 750 * MS;
/// Of the descriptors, the hundredths that connections to leaf servers may take, and those that
/// clients may: more than the third that good ones use at most, so that others do not cost them
/// their place.
const LINK_HUNDREDTHS: usize = 40;
const CLIENT_HUNDREDTHS: usize = 45;
/// From half of what clients may take on, one that has said nothing for so long after an answer is
/// closed.
const CLIENT_IDLE: Nanos = 2_000 * MS;
/// Connections closed for each that opens, as long as there are any to close: what piles up goes
/// faster than it comes.
const CLOSED_AT_ONCE: usize = 2;
/// How long a watch may take to answer: the agent that pushes the list does so at once, and has
/// more to tell as soon as discovery is back; a list that has to be asked for is one service that
/// serves its callers in turn.
const ANSWER_PUSHED: Nanos = 1_000 * MS;
const ANSWER_ASKED: Nanos = 4_500 * MS;
/// The most that one message between mixers may hold.
const MOST_DATAGRAM: usize = 256;
/// Share of the idle time after which we close a connection, in tenths: the other end does so at
/// the latest at its end, and what is written from then on is lost.
const IDLE_TENTHS: Nanos = 9;

/// A query that waits for its final answer.
#[derive(Debug)]
struct Query {
    name: Rc<str>,
    client: ClientId,
    class: usize,
    deadline: Nanos,
    parts: Vec<RequestId>,
    tenant: u32,
    arrived: Nanos,
    is_retry: bool,
    /// Joins retries; 0 while no usage is recorded.
    key: JoinKey,
}

#[derive(Debug)]
struct Part {
    query: RequestId,
    shard: u32,
    weight: f64,
    wire: Rc<str>,
    text: Bytes,
    attempts: u8,
    /// Of the attempts, those to replicas in other zones.
    crossed: u8,
    value: Option<String>,
}

/// An attempt that has not ended. It outlives its query where cancelling is not allowed.
#[derive(Debug)]
struct Attempt {
    replica: ReplicaId,
    connection: ConnectionId,
    sent: Nanos,
    until: Nanos,
    latest_start: Option<Nanos>,
    shard: u32,
    text: Bytes,
}

#[derive(Debug, Default)]
struct Client {
    query: Option<RequestId>,
    /// When its last reply went out, or it came.
    since: Nanos,
    /// It has sent a query that could be used.
    known: bool,
    /// It has been asked to close.
    closing: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Wake(u64),
    Attempt(AttemptId),
    Connect(ConnectionId),
    Idle(ConnectionId),
    Probe(u64),
    LastMoment(RequestId),
    UsageWatermark,
    GraceOver,
    End,
}

#[derive(Debug)]
struct Probe {
    replica: ReplicaId,
    connection: ConnectionId,
    asked: Nanos,
}

/// All that the mixer knows and is doing.
pub struct Engine {
    site: AggregatorSettings,
    module: Policy,
    events: Vec<Event>,
    effects: Vec<Effect>,
    alarms: BTreeSet<(Nanos, Alarm)>,
    replicas: Replicas,
    connections: BTreeMap<ConnectionId, (ReplicaId, LeafConnection)>,
    clients: BTreeMap<ClientId, Client>,
    queries: BTreeMap<RequestId, Query>,
    parts: BTreeMap<RequestId, Part>,
    /// Of the open queries.
    names: BTreeSet<Rc<str>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    probes: BTreeMap<u64, Probe>,
    /// Numbers given out so far: to requests, connections, probes, and to queries as groups of
    /// parts.
    last_id: u64,
    last_group: u32,
    /// Links that have something to write, and those whose last call still takes parts of this
    /// turn.
    pending: BTreeSet<ConnectionId>,
    joining: BTreeSet<ConnectionId>,
    most_links: usize,
    most_clients: usize,
    listed: bool,
    /// The number of the watch that is open, and how long one may take to answer.
    watch: u64,
    answer_within: Nanos,
    terminated: Option<Nanos>,
    closing: bool,
    exited: bool,
    counters: Counters,
    /// Set where use is recorded.
    recording: Option<Recording>,
}

impl Engine {
    /// Starts with the list as it was last held, which may be old, and as many descriptors as it
    /// may hold.
    pub fn new(
        now: Nanos,
        site: AggregatorSettings,
        settings: Settings,
        seed: u64,
        known: &EndpointUpdate,
        descriptors: usize,
    ) -> Engine {
        // Where the list has to be asked for, the module does so in its first turn.
        let asked_for = settings.endpoint_list_polled;
        let mut state = Engine {
            most_links: descriptors * LINK_HUNDREDTHS / 100,
            most_clients: descriptors * CLIENT_HUNDREDTHS / 100,
            replicas: Replicas::new(site.zones.clone()),
            site,
            effects: Vec::new(),
            watch: 0,
            answer_within: if settings.endpoint_list_polled {
                ANSWER_ASKED
            } else {
                ANSWER_PUSHED
            },
            module: Policy::new(settings, seed),
            events: Vec::new(),
            alarms: BTreeSet::new(),
            connections: BTreeMap::new(),
            clients: BTreeMap::new(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            names: BTreeSet::new(),
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            last_id: 0,
            last_group: 0,
            pending: BTreeSet::new(),
            joining: BTreeSet::new(),
            listed: false,
            terminated: None,
            closing: false,
            exited: false,
            counters: Counters::default(),
            recording: None,
        };
        let (_, entries, _) = state.replicas.take(known);
        if !asked_for {
            state.watch_list();
        }
        state.listed = state.replicas.any_ready();
        state.events.push(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Cached,
            entries,
        });
        state.turn(now);
        state
    }

    /// The version of the list that is held: where a watch goes on from.
    pub fn list_index(&self) -> u64 {
        self.replicas.index
    }

    /// Clients' connections that there is room for.
    pub fn most_clients(&self) -> usize {
        self.most_clients
    }

    /// When the next turn is due, whatever comes in until then.
    pub fn next_due(&self) -> Option<Nanos> {
        if !self.events.is_empty() {
            return Some(0);
        }
        self.alarms.first().map(|(at, _)| *at)
    }

    /// What is held, in things of every kind: flat while the load is, whatever names come and go.
    pub fn held(&self) -> usize {
        let open = self.queries.len() + self.parts.len() + self.names.len() + self.attempts.len();
        let sockets = self.clients.len() + self.connections.len() + self.probes.len();
        open + sockets + self.alarms.len() + self.replicas.known() + self.module.held()
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The only way in: takes one input at `now` and returns what is to be done about it. Nothing
    /// is written before the turn: a client that has gone, a drain or an end that came in with a
    /// connection goes before it.
    pub fn apply(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        let turn = matches!(input, Input::BatchEnded);
        match input {
            Input::ClientConnected { client } => self.client_opened(now, client),
            Input::RequestReceived {
                client,
                arrived,
                request: asked,
            } => self.asked(now, client, arrived, asked),
            Input::ClientDisconnected { client } => self.client_closed(now, client),
            Input::ConnectionOpened { connection } => {
                if let Some((_, it)) = self.connections.get_mut(&connection) {
                    it.opened(now);
                    self.pending.insert(connection);
                }
            }
            Input::FrameWritten { connection } => {
                if let Some((_, it)) = self.connections.get_mut(&connection) {
                    it.wrote();
                    self.pending.insert(connection);
                }
            }
            Input::FrameReceived { connection, frame } => self.heard(now, connection, frame),
            Input::ConnectionClosed { connection } => {
                if let Some((_, it)) = self.connections.get(&connection) {
                    let connections = &mut self.counters.connections;
                    match it.phase() {
                        Phase::Connecting => connections.connect_failed += 1,
                        Phase::Open => connections.lost += 1,
                    }
                }
                self.connection_ended(now, connection, false);
            }
            Input::EndpointsUpdated(listing) => self.take_list(now, &listing),
            Input::GossipReceived { from, bytes } => {
                self.events.push(Event::GossipReceived { from, bytes })
            }
            // One that was replaced may say so late: that is no news of the one in its place.
            Input::WatchEnded { watch } if watch != self.watch => {}
            Input::WatchEnded { .. } => self.events.push(Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Unavailable,
                entries: Vec::new(),
            }),
            Input::ConfigurationReloaded { usable } => self.reloaded(usable),
            Input::ShutdownRequested => self.terminate(now),
            Input::BatchEnded => self.turn(now),
        }
        if turn {
            self.pump(now);
        }
        self.leave();
        std::mem::take(&mut self.effects)
    }

    fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
