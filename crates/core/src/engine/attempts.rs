//! Attempts, from the policy's request to their end. Each attempt that was requested ends once, and
//! is reported to the policy as an [`Event::AttemptEnded`].

use super::attempt_table::OpenAttempt;
use super::ids::{AttemptId, ConnectionId};
use super::leaf_connection::CallEntry;
use super::query_table::NewAttempt;
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::{AttemptEnded, AttemptOutcome, Event, LoadReport, Nanos, ReplicaId, RequestId};

/// An attempt as the policy requests it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRequest {
    pub(super) part: RequestId,
    pub(super) replica: ReplicaId,
    /// When it times out; at the deadline of its query where there is none.
    pub(super) times_out_at: Option<Nanos>,
    /// It is dropped if it has not been sent by then.
    pub(super) latest_start: Option<Nanos>,
}

impl Engine {
    /// Queues an attempt at a connection to its replica.
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
            tracing::error!(part, "attempt at a part that has ended");
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

    /// The connection for an attempt, or how the attempt ends where it gets none.
    fn place_attempt(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
        attempt: &NewAttempt,
    ) -> Result<ConnectionId, AttemptOutcome> {
        let within_limit = usize::from(attempt.id.number) < self.settings.max_attempts;
        if !within_limit || attempt.times_out_at <= now || !self.endpoints.is_ready(replica) {
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

    /// Ends an attempt for which there is no connection.
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
            "attempt not placed"
        );
        self.report_attempt_ended(id, replica, outcome, LoadReport::new());
    }

    /// Ends an attempt that was queued at a connection and is no longer in flight there.
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

    /// Ends an attempt from our side, as on its timeout: at its connection, in the table and in the
    /// timers. The policy is informed by the event.
    ///
    /// An attempt that times out and was never sent ends as [`AttemptOutcome::NotSent`]: it is
    /// known not to have been executed.
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

    /// Ends the attempts that have waited for a connection past their timeout, or past their
    /// latest start. Their timers may not have run yet: they run at the end of a batch, and the
    /// socket may accept a frame before.
    pub(super) fn drop_expired_attempts(&mut self, now: Nanos, connection: ConnectionId) {
        for id in self.connections.unsent_attempts(connection) {
            let attempt = self.attempts.get(id);
            if attempt.is_some_and(|attempt| attempt.is_expired(now)) {
                self.cancel_attempt(now, id, AttemptOutcome::TimedOut);
            }
        }
    }
}
