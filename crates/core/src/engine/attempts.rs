//! The life cycle of attempts. Each attempt that the policy requests ends exactly once, and its end
//! is reported to the policy as an [`Event::AttemptEnded`].

use super::attempt_table::OpenAttempt;
use super::ids::{AttemptId, ConnectionId};
use super::leaf_connection::CallEntry;
use super::query_table::NewAttempt;
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::{AttemptEnded, AttemptOutcome, Event, LoadReport, Nanos, ReplicaId, RequestId};

/// An attempt requested by the policy.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRequest {
    pub(super) part: RequestId,
    pub(super) replica: ReplicaId,
    /// Time at which the attempt times out; `None` for the deadline of its query.
    pub(super) times_out_at: Option<Nanos>,
    /// Time after which the attempt is dropped if it has not been sent.
    pub(super) latest_start: Option<Nanos>,
}

impl Engine {
    /// Starts an attempt: queues it at a connection to its replica, or ends it if that is not
    /// possible.
    pub(super) fn start_attempt(&mut self, now: Nanos, request: AttemptRequest) {
        let crosses_zones = self.is_in_other_zone(request.replica);
        let AttemptRequest {
            part, times_out_at, ..
        } = request;
        let Some(attempt) = self
            .queries
            .begin_attempt(part, crosses_zones, times_out_at)
        else {
            self.counters.faults.unknown_target += 1;
            tracing::error!(part, "attempt requested for a part that is not open");
            return;
        };
        self.counters.sent.attempts += 1;
        self.counters.sent.retries += u64::from(attempt.id.number > 0);
        match self.place_attempt(now, request.replica, &attempt) {
            Ok(connection) => self.queue_attempt(now, request, attempt, connection),
            Err(outcome) => self.on_attempt_not_placed(attempt.id, request.replica, outcome),
        }
    }

    fn is_in_other_zone(&self, replica: ReplicaId) -> bool {
        let zone = self.endpoints.zone_of(replica);
        zone.is_some_and(|zone| zone != self.settings.zone)
    }

    /// Returns the connection for an attempt. The error is the outcome of the attempt if it gets no
    /// connection.
    fn place_attempt(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
        attempt: &NewAttempt,
    ) -> Result<ConnectionId, AttemptOutcome> {
        let is_within_limit = usize::from(attempt.id.number) < self.settings.max_attempts;
        if !is_within_limit || attempt.times_out_at <= now || !self.endpoints.is_ready(replica) {
            return Err(AttemptOutcome::NotSent);
        }
        self.find_or_open_connection(now, replica, Some(&attempt.wire_id))
            .ok_or(AttemptOutcome::Unreachable)
    }

    fn queue_attempt(
        &mut self,
        now: Nanos,
        request: AttemptRequest,
        attempt: NewAttempt,
        connection: ConnectionId,
    ) {
        let NewAttempt {
            id,
            shard,
            wire_id,
            text,
            times_out_at,
        } = attempt;
        let entry = CallEntry {
            attempt: id,
            wire_id,
        };
        let max_parts_per_call = self.settings.max_parts_per_call;
        self.connections
            .queue_attempt(connection, entry, max_parts_per_call);
        self.timers.set(times_out_at, Timer::AttemptTimeout(id));
        tracing::debug!(
            part = id.part,
            attempt = id.number,
            replica = request.replica.0,
            shard,
            times_out_in_ms = times_out_at.saturating_sub(now) / MILLISECOND,
            "attempt queued"
        );
        let attempt = OpenAttempt {
            replica: request.replica,
            connection,
            requested_at: now,
            times_out_at,
            latest_start: request.latest_start,
            shard,
            text,
        };
        self.attempts.insert(id, attempt);
    }

    /// Ends an attempt that got no connection.
    fn on_attempt_not_placed(
        &mut self,
        id: AttemptId,
        replica: ReplicaId,
        outcome: AttemptOutcome,
    ) {
        tracing::debug!(
            part = id.part,
            attempt = id.number,
            replica = replica.0,
            ?outcome,
            "attempt not queued"
        );
        self.report_attempt_ended(id, replica, outcome, LoadReport::new());
    }

    /// Ends an attempt that was queued at a connection and is no longer in flight on it.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        tracing::debug!(
            part = id.part,
            attempt = id.number,
            replica = attempt.replica.0,
            shard = attempt.shard,
            age_us = now.saturating_sub(attempt.requested_at) / 1000,
            ?outcome,
            "attempt ended"
        );
        if outcome.may_have_been_executed() {
            self.queries.mark_executed(id.part);
        }
        self.timers
            .cancel(attempt.times_out_at, Timer::AttemptTimeout(id));
        self.report_attempt_ended(id, attempt.replica, outcome, report);
    }

    fn report_attempt_ended(
        &mut self,
        id: AttemptId,
        replica: ReplicaId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        self.counters.attempts_ended.count(outcome);
        self.events.push(Event::AttemptEnded(AttemptEnded {
            part: id.part,
            attempt: id.number,
            replica,
            outcome,
            report,
        }));
    }

    /// Ends an attempt before it has a response, for example on its timeout: at its connection, in
    /// the table and in the timers. The policy is informed by an event.
    ///
    /// An attempt that times out before it was sent ends as [`AttemptOutcome::NotSent`], since it
    /// is known not to have been executed.
    pub(super) fn cancel_attempt(&mut self, now: Nanos, id: AttemptId, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let response_timeout = 2 * self.settings.connect_timeout;
        let cancelled =
            self.connections
                .cancel_attempt(attempt.connection, id, now, response_timeout);
        let became_unresponsive = cancelled.is_some_and(|cancelled| cancelled.became_unresponsive);
        self.counters.connections.silent += u64::from(became_unresponsive);
        let was_unsent = cancelled.is_some_and(|cancelled| !cancelled.may_have_run);
        let outcome = if was_unsent && outcome == AttemptOutcome::TimedOut {
            AttemptOutcome::NotSent
        } else {
            outcome
        };
        self.on_attempt_ended(now, id, outcome, LoadReport::new());
    }

    /// Ends the queued attempts of a connection whose timeout or latest start has passed. Their
    /// timers may not have run yet, because timers run at the end of a batch and the socket may
    /// accept a frame before.
    pub(super) fn drop_expired_attempts(&mut self, now: Nanos, connection: ConnectionId) {
        for id in self.connections.unsent_attempts(connection) {
            let attempt = self.attempts.get(id);
            if attempt.is_some_and(|attempt| attempt.is_expired(now)) {
                self.cancel_attempt(now, id, AttemptOutcome::TimedOut);
            }
        }
    }
}
