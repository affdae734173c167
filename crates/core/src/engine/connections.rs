//! Opens, reuses and closes the connections to leaf servers.

use super::effect::Effect;
use super::idle_timer::IdleCheck;
use super::ids::ConnectionId;
use super::leaf_connection::{ConnectionEnd, LeafConnection, LeafConnectionPhase};
use super::timers::Timer;
use super::Engine;
use crate::api::{AttemptOutcome, LoadReport, Nanos, ReplicaId};

/// Share of the idle timeout after which an idle connection is closed, in tenths. The leaf server
/// closes the connection after the full timeout, and a frame that is written at that moment is
/// lost.
const IDLE_TIMEOUT_TENTHS: Nanos = 9;

impl Engine {
    pub(super) fn on_connection_closed(&mut self, now: Nanos, id: ConnectionId) {
        let counters = &mut self.counters.connections;
        match self.connections.phase_of(id) {
            Some(LeafConnectionPhase::Connecting) => counters.connect_failed += 1,
            Some(LeafConnectionPhase::Open) => counters.lost += 1,
            None => {}
        }
        self.end_connection(now, id, ConnectionEnd::ReportedBySocket);
    }

    pub(super) fn on_connect_timeout(&mut self, now: Nanos, id: ConnectionId) {
        if self.connections.phase_of(id) == Some(LeafConnectionPhase::Connecting) {
            self.counters.connections.connect_failed += 1;
            self.close_connection(now, id);
        }
    }

    /// Closes a connection that has been idle for the idle period, or sets its timer again.
    pub(super) fn on_idle_timeout(&mut self, now: Nanos, id: ConnectionId) {
        let idle_period = self.idle_period();
        match self.connections.check_idle(id, now, idle_period) {
            IdleCheck::InUse => {}
            IdleCheck::DueLater(due) => self.timers.set(due, Timer::IdleTimeout(id)),
            IdleCheck::Expired => {
                self.counters.connections.idle_closed += 1;
                self.close_connection(now, id);
            }
        }
    }

    /// Handles a connection that has become idle: keeps it for the idle period if its replica is
    /// ready and the connection can be used again, closes it otherwise.
    pub(super) fn on_connection_idle(&mut self, now: Nanos, id: ConnectionId) {
        let connection = self.connections.get(id);
        let is_worn_out = connection.is_some_and(LeafConnection::is_worn_out);
        if is_worn_out || !self.leads_to_ready_replica(id) {
            return self.close_connection(now, id);
        }
        let due = now + self.idle_period();
        if self.connections.begin_idle_period(id, now, due) {
            self.timers.set(due, Timer::IdleTimeout(id));
        }
    }

    fn leads_to_ready_replica(&self, id: ConnectionId) -> bool {
        let replica = self.connections.replica_of(id);
        replica.is_some_and(|replica| self.endpoints.has_ready_connection(replica, id))
    }

    fn idle_period(&self) -> Nanos {
        self.settings.idle_timeout / 10 * IDLE_TIMEOUT_TENTHS
    }

    pub(super) fn close_idle_connections(&mut self, now: Nanos, replica: ReplicaId) {
        let connections = self.endpoints.connections_of(replica);
        for id in connections.unwrap_or_default().to_vec() {
            if self.connections.is_idle(id) {
                self.close_connection(now, id);
            }
        }
    }

    /// Returns a connection to a replica with capacity for an attempt with this wire id, or for a
    /// health check, which has none. Prefers the oldest connection, so that few stay in use. Opens
    /// a new one if none has capacity, in place of an idle one if the table is full. Returns `None`
    /// if that is not possible.
    pub(super) fn find_or_open_connection(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
        wire_id: Option<&str>,
    ) -> Option<ConnectionId> {
        let max_streams = self.settings.max_streams;
        let mut oldest_first = self.endpoints.connections_of(replica)?.iter().copied();
        let found = oldest_first.find(|id| {
            let connection = self.connections.get(*id);
            connection.is_some_and(|connection| connection.has_capacity(max_streams, wire_id, now))
        });
        found.or_else(|| self.open_connection(now, replica))
    }

    fn open_connection(&mut self, now: Nanos, replica: ReplicaId) -> Option<ConnectionId> {
        if self.connections.is_full() {
            let longest_idle = self.connections.longest_idle()?;
            self.counters.connections.idle_closed += 1;
            self.close_connection(now, longest_idle);
        }
        let id = self.ids.allocate();
        let address = self.endpoints.add_connection(replica, id)?;
        self.effects.push(Effect::OpenConnection {
            connection: id,
            address,
        });
        self.counters.connections.opened += 1;
        self.connections.insert(id, replica, now);
        let due = now + self.settings.connect_timeout;
        self.timers.set(due, Timer::ConnectTimeout(id));
        Some(id)
    }

    /// Closes a connection. The attempts and health checks on it end as described in
    /// [`ConnectionEnd::ClosedByEngine`].
    pub(super) fn close_connection(&mut self, now: Nanos, id: ConnectionId) {
        self.effects
            .push(Effect::CloseConnection { connection: id });
        self.end_connection(now, id, ConnectionEnd::ClosedByEngine);
    }

    fn end_connection(&mut self, now: Nanos, id: ConnectionId, end: ConnectionEnd) {
        let Some(ended) = self.connections.remove(id, end) else {
            return;
        };
        if let Some(due) = ended.idle_timer_due {
            self.timers.cancel(due, Timer::IdleTimeout(id));
        }
        self.endpoints.remove_connection(ended.replica, id);
        for lost in ended.lost.attempts {
            let outcome = if lost.may_have_run {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::Unreachable
            };
            self.on_attempt_ended(now, lost.attempt, outcome, LoadReport::new());
        }
        for check in ended.lost.health_checks {
            self.on_health_check_ended(now, check, AttemptOutcome::Unreachable, LoadReport::new());
        }
    }
}
