//! The connections to leaf servers and what is scheduled on them.

use super::idle_timer::{IdleCheck, IdleTimer};
use super::ids::{AttemptId, ConnectionId, HealthCheckId};
use super::leaf_connection::{
    CallEntry, CallPlacement, ConnectionEnd, LeafConnection, LeafConnectionPhase, LostWork,
};
use crate::api::{Nanos, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

/// A connection, the replica that it leads to and its idle timer.
#[derive(Debug)]
struct ReplicaConnection {
    replica: ReplicaId,
    state: LeafConnection,
    idle_timer: IdleTimer,
}

/// A connection that has ended.
#[derive(Debug)]
pub(super) struct EndedConnection {
    pub(super) replica: ReplicaId,
    /// When its idle timer is due; none if it is not set.
    pub(super) idle_timer: Option<Nanos>,
    pub(super) lost: LostWork,
}

/// What is known about an attempt that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CancelledAttempt {
    /// The leaf server may have executed it.
    pub(super) may_have_run: bool,
    /// With it the connection became unresponsive.
    pub(super) became_unresponsive: bool,
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

    pub(super) fn phase_of(&self, id: ConnectionId) -> Option<LeafConnectionPhase> {
        self.get(id).map(LeafConnection::phase)
    }

    pub(super) fn replica_of(&self, id: ConnectionId) -> Option<ReplicaId> {
        self.connections.get(&id).map(|entry| entry.replica)
    }

    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections.len() >= self.capacity
    }

    pub(super) fn is_idle(&self, id: ConnectionId) -> bool {
        self.get(id).is_some_and(LeafConnection::is_idle)
    }

    /// Adds a connection that is being established.
    pub(super) fn insert(&mut self, id: ConnectionId, replica: ReplicaId, now: Nanos) {
        let connection = ReplicaConnection {
            replica,
            state: LeafConnection::new(now),
            idle_timer: IdleTimer::new(now),
        };
        self.connections.insert(id, connection);
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(
        &mut self,
        id: ConnectionId,
        end: ConnectionEnd,
    ) -> Option<EndedConnection> {
        let connection = self.connections.remove(&id)?;
        Some(EndedConnection {
            replica: connection.replica,
            idle_timer: connection.idle_timer.due(),
            lost: connection.state.end(end),
        })
    }

    /// Notes that a connection may have something to write, or nothing left to do.
    pub(super) fn mark_pending(&mut self, id: ConnectionId) {
        self.pending.insert(id);
    }

    pub(super) fn pop_pending(&mut self) -> Option<ConnectionId> {
        self.pending.pop_first()
    }

    /// A connection has been established.
    pub(super) fn on_opened(&mut self, id: ConnectionId, now: Nanos) {
        if let Some(connection) = self.get_mut(id) {
            connection.on_opened(now);
            self.mark_pending(id);
        }
    }

    /// The socket of a connection has taken the last byte of a frame.
    pub(super) fn on_frame_written(&mut self, id: ConnectionId) {
        if let Some(connection) = self.get_mut(id) {
            connection.on_frame_written();
            self.mark_pending(id);
        }
    }

    /// Something has come in on a connection; false if that has ended.
    pub(super) fn on_activity(&mut self, id: ConnectionId, now: Nanos) -> bool {
        let Some(connection) = self.get_mut(id) else {
            return false;
        };
        connection.on_activity(now);
        self.mark_pending(id);
        true
    }

    /// Queues an attempt. It shares a call of at most `max_parts_per_call` with others of its
    /// batch.
    pub(super) fn queue_attempt(
        &mut self,
        id: ConnectionId,
        entry: CallEntry,
        max_parts_per_call: usize,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let is_first_of_batch = self.joinable.insert(id);
            let placement = if is_first_of_batch {
                CallPlacement::NewCall
            } else {
                CallPlacement::LastCall {
                    max_parts: max_parts_per_call,
                }
            };
            connection.state.queue_attempt(entry, placement);
        }
        self.mark_pending(id);
    }

    /// From now on attempts share no call with those that were queued before.
    pub(super) fn end_batch(&mut self) {
        self.joinable.clear();
    }

    /// Cancels an attempt at a connection; none if the connection has ended. See
    /// [`LeafConnection::cancel_attempt`].
    pub(super) fn cancel_attempt(
        &mut self,
        id: ConnectionId,
        attempt: AttemptId,
        now: Nanos,
        response_timeout: Nanos,
    ) -> Option<CancelledAttempt> {
        self.mark_pending(id);
        let connection = self.get_mut(id)?;
        let was_unresponsive = connection.is_unresponsive();
        let may_have_run = connection.cancel_attempt(attempt, now, response_timeout);
        Some(CancelledAttempt {
            may_have_run,
            became_unresponsive: connection.is_unresponsive() && !was_unresponsive,
        })
    }

    /// Whether an attempt is at this connection and its socket was not given it yet.
    pub(super) fn is_unsent(&self, id: ConnectionId, attempt: AttemptId) -> bool {
        self.get(id)
            .is_some_and(|connection| connection.is_unsent(attempt))
    }

    /// The attempts at a connection that its socket was not given yet.
    pub(super) fn unsent_attempts(&self, id: ConnectionId) -> Vec<AttemptId> {
        self.get(id)
            .map(LeafConnection::unsent_attempts)
            .unwrap_or_default()
    }

    pub(super) fn queue_health_check(&mut self, id: ConnectionId, check: HealthCheckId) {
        if let Some(connection) = self.get_mut(id) {
            connection.queue_health_check(check);
        }
        self.mark_pending(id);
    }

    pub(super) fn cancel_health_check(&mut self, id: ConnectionId, check: HealthCheckId) {
        if let Some(connection) = self.get_mut(id) {
            connection.cancel_health_check(check);
        }
    }

    /// A connection is idle from now on. True if its idle timer has to be set for `due`; false if
    /// it is set already.
    pub(super) fn begin_idle_period(&mut self, id: ConnectionId, now: Nanos, due: Nanos) -> bool {
        let connection = self.connections.get_mut(&id);
        connection.is_some_and(|connection| connection.idle_timer.begin(now, due))
    }

    /// Checks a connection whose idle timer is due.
    pub(super) fn check_idle(
        &mut self,
        id: ConnectionId,
        now: Nanos,
        idle_period: Nanos,
    ) -> IdleCheck {
        let Some(connection) = self.connections.get_mut(&id) else {
            return IdleCheck::InUse;
        };
        if !connection.state.is_idle() {
            connection.idle_timer.clear();
            return IdleCheck::InUse;
        }
        connection.idle_timer.check(now, idle_period)
    }
}
