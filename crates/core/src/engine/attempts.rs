//! Attempts, from the policy's request to their end. Each attempt that was requested ends once, and
//! the policy is told of it.

use super::ids::ConnectionId;
use super::leaf_connection::{AttemptId, CallEntry};
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::{AttemptEnded, AttemptOutcome, Event, LoadReport, Nanos, ReplicaId, RequestId};
use bytes::Bytes;
use std::collections::BTreeMap;

/// An attempt as the policy requests it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRequest {
    pub(super) part: RequestId,
    pub(super) replica: ReplicaId,
    /// When it times out; 0 stands for the deadline of the query.
    pub(super) until: Nanos,
    /// It is dropped if it has not been sent by then.
    pub(super) latest_start: Option<Nanos>,
}

/// An attempt that has not ended. It outlives its query where cancellation is not allowed.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) replica: ReplicaId,
    pub(super) connection: ConnectionId,
    requested_at: Nanos,
    pub(super) times_out_at: Nanos,
    latest_start: Option<Nanos>,
    pub(super) shard: u32,
    pub(super) text: Bytes,
}

impl OpenAttempt {
    /// Whether it must not be sent any more.
    fn is_expired(&self, now: Nanos) -> bool {
        let past_latest_start = self.latest_start.is_some_and(|latest| latest < now);
        self.times_out_at <= now || past_latest_start
    }
}

/// The attempts that are waiting for a connection or in flight.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    attempts: BTreeMap<AttemptId, OpenAttempt>,
}

impl AttemptTable {
    pub(super) fn get(&self, id: AttemptId) -> Option<&OpenAttempt> {
        self.attempts.get(&id)
    }

    /// The attempts at a part, in the order sent.
    pub(super) fn of_part(
        &self,
        part: RequestId,
    ) -> impl Iterator<Item = (AttemptId, &OpenAttempt)> + '_ {
        let first = AttemptId { part, number: 0 };
        let last = AttemptId {
            part,
            number: u8::MAX,
        };
        let attempts = self.attempts.range(first..=last);
        attempts.map(|(id, attempt)| (*id, attempt))
    }

    fn insert(&mut self, id: AttemptId, attempt: OpenAttempt) {
        self.attempts.insert(id, attempt);
    }

    fn remove(&mut self, id: AttemptId) -> Option<OpenAttempt> {
        self.attempts.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }
}

impl Engine {
    /// Queues an attempt at a connection to its replica.
    pub(super) fn start_attempt(&mut self, now: Nanos, request: AttemptRequest) {
        let replica = request.replica;
        let crosses_zones = self.is_in_other_zone(replica);
        let Some(part) = self.queries.part_mut(request.part) else {
            self.counters.faults.unknown_target += 1;
            tracing::error!(part = request.part, "attempt at a part that has ended");
            return;
        };
        let id = part.begin_attempt(request.part, crosses_zones);
        let (query, shard) = (part.query, part.shard);
        let (wire_id, text) = (part.wire_id.clone(), part.text.clone());
        self.counters.sent.attempts += 1;
        self.counters.sent.retries += u64::from(id.number > 0);
        let times_out_at = self.attempt_timeout(now, query, request.until);
        let max_attempts = self.settings.max_attempts;
        let is_allowed = usize::from(id.number) < max_attempts && times_out_at > now;
        if !is_allowed || self.endpoints.get_ready(replica).is_none() {
            return self.on_attempt_not_placed(id, replica, AttemptOutcome::NotSent);
        }
        let Some(connection) = self.find_or_open_connection(now, replica, &wire_id) else {
            return self.on_attempt_not_placed(id, replica, AttemptOutcome::Unreachable);
        };
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
            replica = replica.0,
            shard,
            times_out_in_ms = times_out_at.saturating_sub(now) / MILLISECOND,
            "attempt queued"
        );
        let attempt = OpenAttempt {
            replica,
            connection,
            requested_at: now,
            times_out_at,
            latest_start: request.latest_start,
            shard,
            text,
        };
        self.attempts.insert(id, attempt);
    }

    fn is_in_other_zone(&self, replica: ReplicaId) -> bool {
        let replica = self.endpoints.get(replica);
        replica.is_some_and(|replica| replica.zone != self.settings.zone)
    }

    /// When an attempt times out: never after its query's deadline.
    fn attempt_timeout(&self, now: Nanos, query: RequestId, until: Nanos) -> Nanos {
        let deadline = self.queries.get(query).map_or(now, |query| query.deadline);
        match until {
            0 => deadline,
            until => until.min(deadline),
        }
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

    /// Ends an attempt that was queued at a connection, and which the connection no longer holds.
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

    /// Ends an attempt from our side. One that never went out is known not to have been executed.
    pub(super) fn end_attempt(&mut self, now: Nanos, id: AttemptId, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let connection_id = attempt.connection;
        let mut outcome = outcome;
        if let Some(connection) = self.connections.get_mut(connection_id) {
            let was_unresponsive = connection.is_unresponsive();
            let response_timeout = 2 * self.settings.connect_timeout;
            let may_have_run = connection.cancel_attempt(id, now, response_timeout);
            if !may_have_run && outcome == AttemptOutcome::TimedOut {
                outcome = AttemptOutcome::NotSent;
            }
            let became_unresponsive = connection.is_unresponsive() && !was_unresponsive;
            self.counters.connections.silent += u64::from(became_unresponsive);
        }
        self.connections.mark_pending(connection_id);
        self.on_attempt_ended(now, id, outcome, LoadReport::new());
    }

    /// Ends the attempts that have waited for a connection past their timeout, or past their
    /// latest start. Their timers may not have run yet: the socket may be free for them a moment
    /// before the end of the batch.
    pub(super) fn drop_expired_attempts(&mut self, now: Nanos, connection: ConnectionId) {
        for id in self.connections.unsent_attempts(connection) {
            let attempt = self.attempts.get(id);
            if attempt.is_some_and(|attempt| attempt.is_expired(now)) {
                self.end_attempt(now, id, AttemptOutcome::TimedOut);
            }
        }
    }
}
