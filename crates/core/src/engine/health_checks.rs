//! Health checks of leaf servers, requested by the policy.

use super::ids::{ConnectionId, HealthCheckId};
use super::leaf_connection::LeafConnection;
use super::timers::Timer;
use super::{load_reports, Engine};
use crate::api::{
    AttemptOutcome, Event, HealthCheckEnded, LoadReport, Nanos, ReplicaId, ReplicaState,
};
use std::collections::BTreeMap;

/// A health check that has not ended.
#[derive(Debug)]
struct HealthCheck {
    replica: ReplicaId,
    connection: ConnectionId,
    started_at: Nanos,
}

/// The health checks that have not ended.
#[derive(Debug, Default)]
pub(super) struct HealthCheckTable {
    checks: BTreeMap<HealthCheckId, HealthCheck>,
}

impl HealthCheckTable {
    fn insert(&mut self, id: HealthCheckId, check: HealthCheck) {
        self.checks.insert(id, check);
    }

    fn remove(&mut self, id: HealthCheckId) -> Option<HealthCheck> {
        self.checks.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.checks.len()
    }
}

impl Engine {
    pub(super) fn start_health_check(&mut self, now: Nanos, replica: ReplicaId) {
        let Some(connection) = self.connection_for_health_check(now, replica) else {
            let not_sent = HealthCheckEnded {
                replica,
                outcome: AttemptOutcome::NotSent,
                latency: 0,
                report: LoadReport::new(),
            };
            self.events.push(Event::HealthCheckEnded(not_sent));
            return;
        };
        let id = self.ids.allocate();
        self.connections.queue_health_check(connection, id);
        let times_out_at = now + self.settings.connect_timeout;
        self.timers.set(times_out_at, Timer::HealthCheckTimeout(id));
        let check = HealthCheck {
            replica,
            connection,
            started_at: now,
        };
        self.health_checks.insert(id, check);
    }

    fn connection_for_health_check(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
    ) -> Option<ConnectionId> {
        let state = self.endpoints.state_of(replica)?;
        if state == ReplicaState::Gone || !self.settings.health_checks_allowed {
            return None;
        }
        self.find_or_open_connection(now, replica, None)
    }

    pub(super) fn on_health_check_result(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        is_healthy: bool,
        report: &str,
    ) {
        let connection = self.connections.get_mut(connection);
        let Some(check) = connection.and_then(LeafConnection::match_health_check_response) else {
            return;
        };
        let outcome = if is_healthy {
            AttemptOutcome::Success
        } else {
            AttemptOutcome::Error
        };
        let report = load_reports::parse(report, &self.settings.load_report_fields);
        self.on_health_check_ended(now, check, outcome, report);
    }

    pub(super) fn on_health_check_ended(
        &mut self,
        now: Nanos,
        id: HealthCheckId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        let Some(check) = self.health_checks.remove(id) else {
            return;
        };
        let times_out_at = check.started_at + self.settings.connect_timeout;
        self.timers
            .cancel(times_out_at, Timer::HealthCheckTimeout(id));
        self.connections.cancel_health_check(check.connection, id);
        self.events.push(Event::HealthCheckEnded(HealthCheckEnded {
            replica: check.replica,
            outcome,
            latency: now.saturating_sub(check.started_at),
            report,
        }));
    }
}
