//! The connections to leaf servers, with the replica and the idle timer of each.

use super::idle_timer::{IdleCheck, IdleTimer};
use super::ids::{AttemptId, ConnectionId, HealthCheckId};
use super::leaf_connection::{
    CallEntry, CallPlacement, ConnectionEnd, LeafConnection, LeafConnectionPhase, LostWork,
};
use crate::api::{Nanos, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

/// A connection with the replica that it leads to and its idle timer.
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
    /// Time at which the idle timer is due, or `None` if no timer is set.
    pub(super) idle_timer_due: Option<Nanos>,
    pub(super) lost: LostWork,
}

/// Result of cancelling an attempt at its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CancelledAttempt {
    /// Whether the leaf server may have executed the attempt.
    pub(super) may_have_run: bool,
    /// Whether the connection has become unresponsive with this cancellation.
    pub(super) became_unresponsive: bool,
}

/// The connections to leaf servers.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    connections: BTreeMap<ConnectionId, ReplicaConnection>,
    capacity: usize,
    /// Connections to visit at the end of the batch, since they may have a frame to write or
    /// nothing left to do.
    pending: BTreeSet<ConnectionId>,
    /// Connections at which an attempt was queued in this batch. Further attempts of the batch may
    /// be added to their last call.
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

    /// Returns the connection that has been idle for longest, or `None` if no connection is idle.
    pub(super) fn longest_idle(&self) -> Option<ConnectionId> {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, connection)| connection.state.is_idle());
        let longest = idle.min_by_key(|(_, connection)| connection.idle_timer.idle_since());
        longest.map(|(id, _)| *id)
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
            idle_timer_due: connection.idle_timer.due(),
            lost: connection.state.end(end),
        })
    }

    /// Schedules a visit of a connection at the end of the batch, since it may have a frame to
    /// write or nothing left to do.
    pub(super) fn mark_pending(&mut self, id: ConnectionId) {
        self.pending.insert(id);
    }

    pub(super) fn pop_pending(&mut self) -> Option<ConnectionId> {
        self.pending.pop_first()
    }

    /// Marks a connection as established.
    pub(super) fn on_opened(&mut self, id: ConnectionId, now: Nanos) {
        if let Some(connection) = self.get_mut(id) {
            connection.on_opened(now);
            self.mark_pending(id);
        }
    }

    /// Marks the frame that the socket was writing as written.
    pub(super) fn on_frame_written(&mut self, id: ConnectionId) {
        if let Some(connection) = self.get_mut(id) {
            connection.on_frame_written();
            self.mark_pending(id);
        }
    }

    /// Records that a frame was received on a connection. Returns `false` if the connection has
    /// ended.
    pub(super) fn on_activity(&mut self, id: ConnectionId, now: Nanos) -> bool {
        let Some(connection) = self.get_mut(id) else {
            return false;
        };
        connection.on_activity(now);
        self.mark_pending(id);
        true
    }

    /// Queues an attempt. Attempts of the same batch share calls of at most `max_parts_per_call`
    /// parts.
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

    /// Ends the batch: later attempts do not share a call with those queued so far.
    pub(super) fn end_batch(&mut self) {
        self.joinable.clear();
    }

    /// Cancels an attempt at a connection; see [`LeafConnection::cancel_attempt`]. Returns `None`
    /// if the connection has ended.
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

    /// Returns whether an attempt is queued at a connection and its frame has not been passed to
    /// the socket.
    pub(super) fn is_unsent(&self, id: ConnectionId, attempt: AttemptId) -> bool {
        self.get(id)
            .is_some_and(|connection| connection.is_unsent(attempt))
    }

    /// Returns the attempts of a connection whose frames have not been passed to the socket.
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

    /// Starts an idle period of a connection. Returns `true` if its idle timer must be set for
    /// `due`, `false` if a timer is already set.
    pub(super) fn begin_idle_period(&mut self, id: ConnectionId, now: Nanos, due: Nanos) -> bool {
        let connection = self.connections.get_mut(&id);
        connection.is_some_and(|connection| connection.idle_timer.begin(now, due))
    }

    /// Handles a due idle timer.
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
