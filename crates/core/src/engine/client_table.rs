//! The connected clients, and the choice of those to evict when many are connected.

use super::ids::ClientId;
use super::MILLISECOND;
use crate::api::{Nanos, RequestId};
use std::collections::BTreeMap;

/// An idle client may be evicted this long after its last reply, or after it connected if there was
/// none, once more than half of the capacity is in use.
const CLIENT_IDLE_TIMEOUT: Nanos = 2_000 * MILLISECOND;

/// Maximum number of clients evicted for each client that connects. More than one, so that idle
/// clients are closed faster than new clients connect.
const MAX_EVICTIONS_PER_CONNECT: usize = 2;

/// State of one client connection.
#[derive(Debug, Default)]
struct Client {
    /// Query whose reply the client is waiting for.
    query: Option<RequestId>,
    /// Time at which the last reply was sent, or at which the client connected if there was none.
    idle_since: Nanos,
    /// Whether a query of this client has been passed to the policy.
    has_sent_query: bool,
    /// Whether the connection is to be closed.
    is_close_requested: bool,
}

/// The connected clients.
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

    /// Returns the maximum number of connected clients.
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

    /// Returns the clients that are not waiting for the reply to a query.
    pub(super) fn without_query(&self) -> impl Iterator<Item = ClientId> + '_ {
        let clients = self.clients.iter();
        let idle = clients.filter(|(_, client)| client.query.is_none());
        idle.map(|(id, _)| *id)
    }

    /// Adds a client that has connected.
    pub(super) fn insert(&mut self, client: ClientId, now: Nanos) {
        let state = Client {
            idle_since: now,
            ..Client::default()
        };
        self.clients.insert(client, state);
    }

    /// Removes a client. Returns the query whose reply the client was waiting for, if any.
    pub(super) fn remove(&mut self, client: ClientId) -> Option<RequestId> {
        self.clients.remove(&client)?.query
    }

    /// Marks a client as waiting for the reply to a query.
    pub(super) fn set_query(&mut self, client: ClientId, query: RequestId) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.query = Some(query);
            client.has_sent_query = true;
        }
    }

    /// Marks a client as idle from `now` on, as its request is answered. Returns whether its
    /// connection must be closed after the reply, or `None` if the client has disconnected.
    pub(super) fn on_reply(&mut self, client: ClientId, now: Nanos) -> Option<bool> {
        let client = self.clients.get_mut(&client)?;
        client.query = None;
        client.idle_since = now;
        Some(client.is_close_requested)
    }

    /// Selects the clients to evict when `newest` connects, and marks them so that none is selected
    /// twice before its connection has ended. Clients without a query that was passed to the policy
    /// are selected first, then those that have been idle for longest.
    pub(super) fn pick_evictions(&mut self, now: Nanos, newest: ClientId) -> Vec<ClientId> {
        if self.clients.len() <= self.capacity / 2 {
            return Vec::new();
        }
        let is_full = self.clients.len() > self.capacity;
        let candidates = self.clients.iter_mut().filter(|(id, client)| {
            **id != newest && client.is_closable() && (is_full || client.is_long_idle(now))
        });
        let mut evicted: Vec<(&ClientId, &mut Client)> = candidates.collect();
        evicted
            .sort_unstable_by_key(|(id, client)| (client.has_sent_query, client.idle_since, **id));
        evicted.truncate(MAX_EVICTIONS_PER_CONNECT);
        for (_, client) in &mut evicted {
            client.is_close_requested = true;
        }
        evicted.into_iter().map(|(id, _)| *id).collect()
    }
}

impl Client {
    fn is_closable(&self) -> bool {
        self.query.is_none() && !self.is_close_requested
    }

    fn is_long_idle(&self, now: Nanos) -> bool {
        self.has_sent_query && now.saturating_sub(self.idle_since) >= CLIENT_IDLE_TIMEOUT
    }
}
