//! Attempts and probes, from the decision to the one end of each.

use super::{Alarm, Attempt, Engine, Probe, IDLE_TENTHS, MS};
use crate::api::*;
use crate::engine::leaf_connection::{AttemptId, Job};
use crate::engine::messages::{ConnectionId, Effect};
use crate::protocol::leaf::{CallPart, LeafRequest};
use std::rc::Rc;

impl Engine {
    pub(super) fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        replica: ReplicaId,
        until: Nanos,
        latest_start: Option<Nanos>,
    ) {
        let Some(part) = self.parts.get_mut(&id) else {
            self.counters.faults.unknown_target += 1;
            tracing::error!(id, "a send for a part that is over");
            return;
        };
        let attempt = (id, part.attempts);
        part.attempts = part.attempts.saturating_add(1);
        let elsewhere = self
            .replicas
            .get(replica)
            .is_some_and(|r| r.zone != self.site.zone);
        part.crossed = part.crossed.saturating_add(u8::from(elsewhere));
        let (wire, shard, text) = (part.wire.clone(), part.shard, part.text.clone());
        let deadline = self
            .queries
            .get(&part.query)
            .map_or(now, |query| query.deadline);
        let until = if until == 0 {
            deadline
        } else {
            until.min(deadline)
        };
        self.counters.sent.attempts += 1;
        self.counters.sent.retries += u64::from(attempt.1 > 0);
        let ready = self
            .replicas
            .get(replica)
            .is_some_and(|r| r.state == ReplicaState::Ready);
        let allowed = usize::from(attempt.1) < self.site.max_attempts && until > now;
        if !ready || !allowed {
            return self.not_placed(attempt, replica, AttemptOutcome::NotSent);
        }
        let Some(connection) = self.connection_for(now, replica, &wire) else {
            return self.not_placed(attempt, replica, AttemptOutcome::Unreachable);
        };
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            it.queue(
                attempt,
                wire,
                !self.joining.insert(connection),
                self.site.max_parts_per_call,
            );
        }
        self.pending.insert(connection);
        self.alarms.insert((until, Alarm::Attempt(attempt)));
        self.attempts.insert(
            attempt,
            Attempt {
                replica,
                connection,
                sent: now,
                until,
                latest_start,
                shard,
                text,
            },
        );
    }

    /// An attempt that found no connection; it ends like any other, or the module would wait for
    /// it.
    pub(super) fn not_placed(
        &mut self,
        (part, attempt): AttemptId,
        replica: ReplicaId,
        outcome: AttemptOutcome,
    ) {
        tracing::debug!(
            part,
            attempt,
            replica = replica.0,
            ?outcome,
            "attempt not placed"
        );
        self.count(outcome);
        self.events.push(Event::AttemptEnded(AttemptEnded {
            part,
            attempt,
            replica,
            outcome,
            report: LoadReport::new(),
        }));
    }

    /// The one end of an attempt that was placed.
    pub(super) fn ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let (replica, shard, age_us) = (
            attempt.replica.0,
            attempt.shard,
            now.saturating_sub(attempt.sent) / 1000,
        );
        tracing::debug!(
            part = id.0,
            attempt = id.1,
            replica,
            shard,
            age_us,
            ?outcome,
            "attempt ended"
        );
        self.alarms.remove(&(attempt.until, Alarm::Attempt(id)));
        self.count(outcome);
        let (replica, (part, attempt)) = (attempt.replica, id);
        self.events.push(Event::AttemptEnded(AttemptEnded {
            part,
            attempt,
            replica,
            outcome,
            report,
        }));
    }

    pub(super) fn count(&mut self, outcome: AttemptOutcome) {
        let ended = &mut self.counters.attempts_ended;
        *match outcome {
            AttemptOutcome::Success => &mut ended.success,
            AttemptOutcome::Error => &mut ended.error,
            AttemptOutcome::Rejected => &mut ended.rejected,
            AttemptOutcome::TimedOut => &mut ended.timed_out,
            AttemptOutcome::Unreachable => &mut ended.unreachable,
            AttemptOutcome::ConnectionLost => &mut ended.connection_lost,
            AttemptOutcome::Cancelled => &mut ended.cancelled,
            AttemptOutcome::NotSent => &mut ended.not_sent,
        } += 1;
    }

    /// Ends an attempt from our side. One that never went out is known not to have run.
    pub(super) fn end_attempt(&mut self, now: Nanos, id: AttemptId, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let connection = attempt.connection;
        let mut outcome = outcome;
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            let before = it.is_silent();
            let went_out = it.drop_attempt(id, now, 2 * self.site.connect_timeout);
            if !went_out && outcome == AttemptOutcome::TimedOut {
                outcome = AttemptOutcome::NotSent;
            }
            self.counters.connections.silent += u64::from(it.is_silent() && !before);
        }
        self.pending.insert(connection);
        self.ended(now, id, outcome, LoadReport::new());
    }

    /// What has waited past its time, or past that in which a repeat of it is dropped, must not go
    /// out, though its alarm has yet to ring: the socket may be free for it a moment before the
    /// turn.
    pub(super) fn drop_expired(&mut self, now: Nanos, connection: ConnectionId) {
        let unsent = self
            .connections
            .get(&connection)
            .map(|(_, it)| it.unsent())
            .unwrap_or_default();
        for id in unsent {
            let late = |attempt: &Attempt| {
                attempt.until <= now || attempt.latest_start.is_some_and(|by| by < now)
            };
            if self.attempts.get(&id).is_some_and(late) {
                self.end_attempt(now, id, AttemptOutcome::TimedOut);
            }
        }
    }

    /// Hands each connection with work its next frame, and closes those that have none and no
    /// future.
    pub(super) fn pump(&mut self, now: Nanos) {
        while let Some(connection) = self.pending.pop_first() {
            self.drop_expired(now, connection);
            let Some((id, it)) = self.connections.get_mut(&connection) else {
                continue;
            };
            let id = *id;
            if it.is_spent() {
                self.close_connection(now, connection);
            } else if let Some(job) = it.take_next(now) {
                match self.frame(now, job) {
                    Some(frame) => self.effects.push(Effect::WriteFrame { connection, frame }),
                    // Nothing was left of it: as if it were written, and on to the next.
                    None => {
                        if let Some((_, it)) = self.connections.get_mut(&connection) {
                            it.wrote();
                        }
                        self.pending.insert(connection);
                    }
                }
            } else if it.is_idle() {
                it.idle_since = now;
                let replica = self
                    .replicas
                    .get(id)
                    .filter(|r| r.state == ReplicaState::Ready);
                // One that has moved does not know its old connections.
                if !replica.is_some_and(|r| r.connections.contains(&connection)) {
                    self.close_connection(now, connection);
                } else {
                    let due = now + self.site.idle_timeout / 10 * IDLE_TENTHS;
                    if it.idle_alarm.is_none() {
                        it.idle_alarm = Some(due);
                        self.alarms.insert((due, Alarm::Idle(connection)));
                    }
                }
            }
        }
    }

    pub(super) fn frame(&mut self, now: Nanos, job: Job) -> Option<LeafRequest> {
        match job {
            Job::Call(call) => {
                let part = |(id, wire): (AttemptId, Rc<str>)| {
                    let Attempt {
                        until, shard, text, ..
                    } = self.attempts.get(&id)?;
                    let wait_ms = until.saturating_sub(now).div_ceil(MS);
                    Some(CallPart {
                        id: wire,
                        shard: *shard,
                        wait_ms,
                        text: text.clone(),
                    })
                };
                let parts: Vec<CallPart> = call.into_iter().filter_map(part).collect();
                self.counters.sent.calls += u64::from(!parts.is_empty());
                (!parts.is_empty()).then_some(LeafRequest::Call(parts))
            }
            Job::GiveUp(wire) => {
                self.counters.sent.cancellations += 1;
                Some(LeafRequest::Cancel(wire))
            }
            Job::Probe(_) => {
                self.counters.sent.health_checks += 1;
                Some(if self.site.load_report_fields.is_empty() {
                    LeafRequest::HealthCheck
                } else {
                    LeafRequest::LoadReport
                })
            }
        }
    }

    pub(super) fn probe(&mut self, now: Nanos, replica: ReplicaId) {
        let listed = self
            .replicas
            .get(replica)
            .is_some_and(|r| r.state != ReplicaState::Gone);
        let connection = if listed && self.site.health_checks_allowed {
            self.connection_for(now, replica, "")
        } else {
            None
        };
        let Some(connection) = connection else {
            let (outcome, report) = (AttemptOutcome::NotSent, LoadReport::new());
            return self.events.push(Event::HealthCheckEnded(HealthCheckEnded {
                replica,
                outcome,
                latency: 0,
                report,
            }));
        };
        let probe = self.id();
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            it.queue_probe(probe);
        }
        self.pending.insert(connection);
        self.alarms
            .insert((now + self.site.connect_timeout, Alarm::Probe(probe)));
        self.probes.insert(
            probe,
            Probe {
                replica,
                connection,
                asked: now,
            },
        );
    }

    pub(super) fn probe_ended(
        &mut self,
        now: Nanos,
        probe: u64,
        outcome: AttemptOutcome,
        report: &str,
    ) {
        let Some(Probe {
            replica,
            connection,
            asked,
        }) = self.probes.remove(&probe)
        else {
            return;
        };
        self.alarms
            .remove(&(asked + self.site.connect_timeout, Alarm::Probe(probe)));
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            it.drop_probe(probe);
        }
        let report = self.report(report);
        self.events.push(Event::HealthCheckEnded(HealthCheckEnded {
            replica,
            outcome,
            latency: now.saturating_sub(asked),
            report,
        }));
    }
}
