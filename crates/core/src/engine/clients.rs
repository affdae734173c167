//! Clients: their connections and the requests that come in on them.

use super::effect::Effect;
use super::ids::ClientId;
use super::{Engine, MILLISECOND};
use crate::api::{Event, Nanos, RequestId};
use crate::protocol::http::RequestError;
use crate::protocol::query::{ClientRequest, QueryReply};
use std::collections::BTreeMap;

/// Once more than half of the capacity is in use, a client that has been idle this long since its
/// last reply is closed.
const CLIENT_IDLE_TIMEOUT: Nanos = 2_000 * MILLISECOND;

/// The most clients closed for each that connects. More than one, so that idle clients go faster
/// than they come.
const MAX_EVICTIONS_PER_CONNECT: usize = 2;

/// One client's connection.
#[derive(Debug, Default)]
struct Client {
    /// The query that it waits for.
    query: Option<RequestId>,
    /// When its last reply was sent, or it connected.
    idle_since: Nanos,
    /// It has sent a query that was admitted.
    has_sent_query: bool,
    /// Its connection is to be closed.
    close_requested: bool,
}

/// The clients that are connected.
#[derive(Debug)]
pub(super) struct ClientTable {
    clients: BTreeMap<ClientId, Client>,
    capacity: usize,
}

impl ClientTable {
    pub(super) fn new(capacity: usize) -> ClientTable {
        ClientTable {
            clients: BTreeMap::new(),
            capacity,
        }
    }

    /// The most clients that may be connected.
    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(super) fn len(&self) -> usize {
        self.clients.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    pub(super) fn contains(&self, client: ClientId) -> bool {
        self.clients.contains_key(&client)
    }

    /// The clients that wait for no query.
    pub(super) fn without_query(&self) -> impl Iterator<Item = ClientId> + '_ {
        let clients = self.clients.iter();
        let idle = clients.filter(|(_, client)| client.query.is_none());
        idle.map(|(id, _)| *id)
    }

    fn get_mut(&mut self, client: ClientId) -> Option<&mut Client> {
        self.clients.get_mut(&client)
    }

    fn remove(&mut self, client: ClientId) -> Option<Client> {
        self.clients.remove(&client)
    }

    /// Notes that a client waits for a query.
    pub(super) fn set_query(&mut self, client: ClientId, query: RequestId) {
        if let Some(client) = self.get_mut(client) {
            client.query = Some(query);
            client.has_sent_query = true;
        }
    }

    fn connect(&mut self, now: Nanos, client: ClientId) {
        let state = Client {
            idle_since: now,
            ..Client::default()
        };
        self.clients.insert(client, state);
    }

    /// Picks the clients to close so that `newest` has room, and marks them: many may connect
    /// before the first one that was picked is gone. Those that never sent a usable query go
    /// first, then those that have been idle for longest.
    fn pick_evictions(&mut self, now: Nanos, newest: ClientId) -> Vec<ClientId> {
        if self.clients.len() <= self.capacity / 2 {
            return Vec::new();
        }
        let is_full = self.clients.len() > self.capacity;
        let candidates = self.clients.iter_mut().filter(|(id, client)| {
            **id != newest && client.is_closable() && (is_full || client.is_long_idle(now))
        });
        let mut candidates: Vec<(ClientId, &mut Client)> =
            candidates.map(|(id, client)| (*id, client)).collect();
        candidates
            .sort_unstable_by_key(|(id, client)| (client.has_sent_query, client.idle_since, *id));
        let evicted = candidates.into_iter().take(MAX_EVICTIONS_PER_CONNECT);
        evicted
            .map(|(id, client)| {
                client.close_requested = true;
                id
            })
            .collect()
    }
}

impl Client {
    fn is_closable(&self) -> bool {
        self.query.is_none() && !self.close_requested
    }

    fn is_long_idle(&self, now: Nanos) -> bool {
        self.has_sent_query && now.saturating_sub(self.idle_since) >= CLIENT_IDLE_TIMEOUT
    }
}

impl Engine {
    pub(super) fn on_client_connected(&mut self, now: Nanos, client: ClientId) {
        self.counters.connections.clients += 1;
        self.clients.connect(now, client);
        if self.shutdown.is_drain_period_over() {
            // It was accepted while the listener closed: without a request it would delay the
            // exit.
            self.effects.push(Effect::DrainClient { client });
            return;
        }
        let evicted = self.clients.pick_evictions(now, client).into_iter();
        self.effects
            .extend(evicted.map(|client| Effect::CloseClient { client }));
    }

    pub(super) fn on_client_disconnected(&mut self, now: Nanos, client: ClientId) {
        let removed = self.clients.remove(client);
        if let Some(query) = removed.and_then(|client| client.query) {
            self.counters.queries_ended.client_disconnected += 1;
            self.events.push(Event::ClientDisconnected { id: query });
            self.abandon_query(now, query);
        }
    }

    pub(super) fn on_request(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        request: Result<ClientRequest, RequestError>,
    ) {
        match request {
            Ok(ClientRequest::Query(query)) => self.on_query(now, client, arrived, query),
            Ok(ClientRequest::Ready) => {
                let ready = self.endpoints.were_ever_ready() && !self.shutdown.is_requested();
                self.send_reply(now, client, QueryReply::Ready(ready));
            }
            Ok(ClientRequest::Stats) => {
                let json = serde_json::to_vec_pretty(&self.counters).unwrap_or_default();
                self.send_reply(now, client, QueryReply::Stats(json));
            }
            Err(error) => self.on_invalid_request(now, client, error),
        }
    }

    pub(super) fn on_invalid_request(&mut self, now: Nanos, client: ClientId, error: RequestError) {
        self.counters.received.invalid += 1;
        // At debug level, since some clients send nothing else, as fast as they can: they would
        // fill the log.
        tracing::debug!(
            client,
            status = error.status,
            why = error.why,
            "invalid request"
        );
        self.send_reply(now, client, QueryReply::InvalidRequest(error));
    }

    pub(super) fn send_reply(&mut self, now: Nanos, client_id: ClientId, reply: QueryReply) {
        let Some(client) = self.clients.get_mut(client_id) else {
            return;
        };
        client.query = None;
        client.idle_since = now;
        let close = self.shutdown.is_requested() || client.close_requested;
        self.effects.push(Effect::SendReply {
            client: client_id,
            reply,
            close,
        });
    }
}
