//! Connections to leaf servers: when they are opened, found idle and closed.

use super::effect::Effect;
use super::ids::ConnectionId;
use super::leaf_connection::{AttemptId, CallEntry, LeafConnection, LeafConnectionPhase};
use super::timers::Timer;
use super::Engine;
use crate::api::{AttemptOutcome, LoadReport, Nanos, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

/// We close a connection once it has been idle for this share of the idle timeout, in tenths. The
/// leaf server does so when the whole of it has passed, and whatever is written from then on is
/// lost.
const IDLE_TIMEOUT_TENTHS: Nanos = 9;

/// A connection and the replica that it leads to.
#[derive(Debug)]
struct ReplicaConnection {
    replica: ReplicaId,
    state: LeafConnection,
}

/// The connections to leaf servers.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    connections: BTreeMap<ConnectionId, ReplicaConnection>,
    capacity: usize,
    /// Connections that may have something to write, or nothing left to do.
    pending: BTreeSet<ConnectionId>,
    /// Connections that were given an attempt in this batch: their last call takes more parts.
    joinable: BTreeSet<ConnectionId>,
}

impl ConnectionTable {
    pub(super) fn new(capacity: usize) -> ConnectionTable {
        ConnectionTable {
            connections: BTreeMap::new(),
            capacity,
            pending: BTreeSet::new(),
            joinable: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&LeafConnection> {
        self.connections.get(&id).map(|entry| &entry.state)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut LeafConnection> {
        self.connections.get_mut(&id).map(|entry| &mut entry.state)
    }

    pub(super) fn replica_of(&self, id: ConnectionId) -> Option<ReplicaId> {
        self.connections.get(&id).map(|entry| entry.replica)
    }

    fn insert(&mut self, id: ConnectionId, connection: ReplicaConnection) {
        self.connections.insert(id, connection);
    }

    fn remove(&mut self, id: ConnectionId) -> Option<ReplicaConnection> {
        self.connections.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    fn is_full(&self) -> bool {
        self.connections.len() >= self.capacity
    }

    fn is_idle(&self, id: ConnectionId) -> bool {
        self.get(id).is_some_and(LeafConnection::is_idle)
    }

    /// The attempts at a connection that its socket was not given yet.
    pub(super) fn unsent_attempts(&self, id: ConnectionId) -> Vec<AttemptId> {
        let connection = self.get(id);
        connection
            .map(LeafConnection::unsent_attempts)
            .unwrap_or_default()
    }

    /// Notes that a connection may have something to write, or nothing left to do.
    pub(super) fn mark_pending(&mut self, id: ConnectionId) {
        self.pending.insert(id);
    }

    pub(super) fn pop_pending(&mut self) -> Option<ConnectionId> {
        self.pending.pop_first()
    }

    /// Queues an attempt. It shares a call with others of its batch.
    pub(super) fn queue_attempt(
        &mut self,
        id: ConnectionId,
        entry: CallEntry,
        max_parts_per_call: usize,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let join = !self.joinable.insert(id);
            connection
                .state
                .queue_attempt(entry, join, max_parts_per_call);
        }
        self.pending.insert(id);
    }

    /// From now on attempts share no call with those that were queued before.
    pub(super) fn end_batch(&mut self) {
        self.joinable.clear();
    }
}

impl Engine {
    pub(super) fn on_connection_opened(&mut self, now: Nanos, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.on_opened(now);
            self.connections.mark_pending(id);
        }
    }

    pub(super) fn on_connection_closed(&mut self, now: Nanos, id: ConnectionId) {
        let counters = &mut self.counters.connections;
        match self.connections.get(id).map(LeafConnection::phase) {
            Some(LeafConnectionPhase::Connecting) => counters.connect_failed += 1,
            Some(LeafConnectionPhase::Open) => counters.lost += 1,
            None => {}
        }
        self.end_connection(now, id, false);
    }

    pub(super) fn on_connect_timeout(&mut self, now: Nanos, id: ConnectionId) {
        let phase = self.connections.get(id).map(LeafConnection::phase);
        if phase == Some(LeafConnectionPhase::Connecting) {
            self.counters.connections.connect_failed += 1;
            self.close_connection(now, id);
        }
    }

    /// Closes a connection that has been idle for long enough, or looks again when it would be.
    pub(super) fn on_idle_timeout(&mut self, now: Nanos, id: ConnectionId) {
        let idle_period = self.idle_period();
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let due = connection.idle_since + idle_period;
        if !connection.is_idle() {
            connection.idle_timer = None;
        } else if due > now {
            connection.idle_timer = Some(due);
            self.timers.set(due, Timer::IdleTimeout(id));
        } else {
            self.counters.connections.idle_closed += 1;
            self.close_connection(now, id);
        }
    }

    /// A connection has nothing left to do: keeps it while its replica may get more.
    pub(super) fn on_connection_idle(&mut self, now: Nanos, id: ConnectionId) {
        let is_of_use = self.leads_to_ready_replica(id);
        let due = now + self.idle_period();
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.idle_since = now;
        if !is_of_use {
            self.close_connection(now, id);
        } else if connection.idle_timer.is_none() {
            connection.idle_timer = Some(due);
            self.timers.set(due, Timer::IdleTimeout(id));
        }
    }

    fn leads_to_ready_replica(&self, id: ConnectionId) -> bool {
        let Some(replica) = self.connections.replica_of(id) else {
            return false;
        };
        // A replica whose address has changed no longer lists the connections to the old one.
        let replica = self.endpoints.get_ready(replica);
        replica.is_some_and(|replica| replica.connections.contains(&id))
    }

    fn idle_period(&self) -> Nanos {
        self.settings.idle_timeout / 10 * IDLE_TIMEOUT_TENTHS
    }

    pub(super) fn close_idle_connections(&mut self, now: Nanos, replica: ReplicaId) {
        let replica = self.endpoints.get(replica);
        let connections = replica.map(|replica| replica.connections.clone());
        for id in connections.unwrap_or_default() {
            if self.connections.is_idle(id) {
                self.close_connection(now, id);
            }
        }
    }

    /// A connection to a replica that has capacity for one more frame with this wire id: the
    /// oldest first, so that few stay in use, and a new one where none has any.
    pub(super) fn find_or_open_connection(
        &mut self,
        now: Nanos,
        replica_id: ReplicaId,
        wire_id: &str,
    ) -> Option<ConnectionId> {
        let replica = self.endpoints.get(replica_id)?;
        let max_streams = self.settings.max_streams;
        let mut oldest_first = replica.connections.iter().copied();
        let found = oldest_first.find(|id| {
            let connection = self.connections.get(*id);
            connection.is_some_and(|connection| connection.has_capacity(max_streams, wire_id))
        });
        found.or_else(|| self.open_connection(now, replica_id))
    }

    fn open_connection(&mut self, now: Nanos, replica_id: ReplicaId) -> Option<ConnectionId> {
        if self.connections.is_full() {
            return None;
        }
        let id = self.ids.allocate();
        let replica = self.endpoints.get_mut(replica_id)?;
        replica.connections.push(id);
        self.effects.push(Effect::OpenConnection {
            connection: id,
            address: replica.address,
        });
        self.counters.connections.opened += 1;
        let connection = ReplicaConnection {
            replica: replica_id,
            state: LeafConnection::new(now),
        };
        self.connections.insert(id, connection);
        let due = now + self.settings.connect_timeout;
        self.timers.set(due, Timer::ConnectTimeout(id));
        Some(id)
    }

    /// Closes a connection from our side. What is in flight on it ends as if the connection had
    /// failed.
    pub(super) fn close_connection(&mut self, now: Nanos, id: ConnectionId) {
        self.effects
            .push(Effect::CloseConnection { connection: id });
        self.end_connection(now, id, true);
    }

    /// Ends a connection that has failed, or that we close (`closed_by_us`).
    fn end_connection(&mut self, now: Nanos, id: ConnectionId, closed_by_us: bool) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        if let Some(due) = connection.state.idle_timer {
            self.timers.cancel(due, Timer::IdleTimeout(id));
        }
        if let Some(replica) = self.endpoints.get_mut(connection.replica) {
            replica.connections.retain(|other| *other != id);
        }
        let lost = connection.state.end(closed_by_us);
        for lost_attempt in lost.attempts {
            let outcome = if lost_attempt.may_have_run {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::Unreachable
            };
            self.on_attempt_ended(now, lost_attempt.attempt, outcome, LoadReport::new());
        }
        for check in lost.health_checks {
            self.on_health_check_ended(now, check, AttemptOutcome::Unreachable, "");
        }
    }
}
