//! Turns: alarms that are due, the decisions, what they ask for, and the end.

use super::{usage, Alarm, Engine, Part, Query, GRACE, IDLE_TENTHS, MOST_DATAGRAM, MS};
use crate::api::*;
use crate::engine::leaf_connection::Phase;
use crate::engine::messages::Effect;
use crate::protocol::query::{Hit, Reply};

impl Engine {
    pub(super) fn turn(&mut self, now: Nanos) {
        while let Some((at, alarm)) = self.alarms.first().copied().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, alarm));
            self.ring(now, alarm);
        }
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.module.handle(now, &events, &mut actions);
        for action in actions {
            self.act(now, action);
        }
        self.joining.clear();
    }

    pub(super) fn ring(&mut self, now: Nanos, alarm: Alarm) {
        match alarm {
            Alarm::Wake(token) => self.events.push(Event::TimerFired { token }),
            Alarm::Attempt(id) => self.end_attempt(now, id, AttemptOutcome::TimedOut),
            Alarm::Connect(connection) => {
                if self
                    .connections
                    .get(&connection)
                    .is_some_and(|(_, it)| it.phase() == Phase::Connecting)
                {
                    self.counters.connections.connect_failed += 1;
                    self.close_connection(now, connection);
                }
            }
            Alarm::Idle(connection) => {
                let Some((_, it)) = self.connections.get_mut(&connection) else {
                    return;
                };
                let due = it.idle_since + self.site.idle_timeout / 10 * IDLE_TENTHS;
                if !it.is_idle() {
                    it.idle_alarm = None;
                } else if due > now {
                    it.idle_alarm = Some(due);
                    self.alarms.insert((due, Alarm::Idle(connection)));
                } else {
                    self.counters.connections.idle_closed += 1;
                    self.close_connection(now, connection);
                }
            }
            Alarm::Probe(probe) => self.probe_ended(now, probe, AttemptOutcome::TimedOut, ""),
            Alarm::LastMoment(id) => {
                // Guards the rule that every query taken is answered in time, should the module
                // miss one.
                self.counters.faults.reply_deadline += 1;
                tracing::error!(id, "query still open at the last moment");
                self.events.push(Event::ClientDisconnected { id });
                self.finish(now, id, |state, _| {
                    state.counters.queries_ended.failed += 1;
                    Reply::Failed
                });
            }
            Alarm::UsageWatermark => self.mark(now),
            Alarm::GraceOver => self.wind_down(),
            Alarm::End => {
                for id in self.queries.keys().copied().collect::<Vec<_>>() {
                    self.ring(now, Alarm::LastMoment(id));
                }
                self.clients.clear();
            }
        }
    }

    pub(super) fn act(&mut self, now: Nanos, action: Action) {
        match action {
            Action::SendAttempt {
                part,
                replica,
                until,
                latest_start,
            } => self.send(now, part, replica, until, latest_start),
            Action::CancelAttempt { part, attempt } => {
                self.end_attempt(now, (part, attempt), AttemptOutcome::Cancelled)
            }
            Action::Answer { query, complete } => {
                self.finish(now, query, |state, query| state.answer(query, complete));
            }
            Action::Reject { query, retry_after } => self.finish(now, query, |state, _| {
                state.counters.queries_ended.rejected += 1;
                Reply::Rejected { retry_after }
            }),
            Action::Fail { query } => self.finish(now, query, |state, _| {
                state.counters.queries_ended.failed += 1;
                Reply::Failed
            }),
            Action::SetTimer { token, after } => {
                self.alarms.insert((now + after, Alarm::Wake(token)));
            }
            Action::WatchEndpoints { enabled: true } => self.watch_list(),
            // A watch lasts until it ends by itself, and brings all that a single call would.
            Action::WatchEndpoints { enabled: false } | Action::FetchEndpoints => {}
            Action::CheckHealth { replica } => self.probe(now, replica),
            Action::CloseIdleConnections { replica } => {
                let connections = self
                    .replicas
                    .get(replica)
                    .map(|r| r.connections.clone())
                    .unwrap_or_default();
                for connection in connections {
                    if self
                        .connections
                        .get(&connection)
                        .is_some_and(|(_, it)| it.is_idle())
                    {
                        self.close_connection(now, connection);
                    }
                }
            }
            Action::SendGossip { to, bytes } => {
                if self.site.gossip_allowed && bytes.len() <= MOST_DATAGRAM {
                    self.counters.sent.gossip_messages += 1;
                    self.effects.push(Effect::SendGossip { to, bytes });
                } else {
                    self.counters.faults.unknown_target += 1;
                }
            }
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    pub(super) fn finish(
        &mut self,
        now: Nanos,
        id: RequestId,
        word: impl FnOnce(&mut Self, &(Query, Vec<Part>)) -> Reply,
    ) {
        let Some(ended) = self.end_query(now, id) else {
            return;
        };
        let reply = word(self, &ended);
        self.record(&ended.0, &ended.1, usage::outcome(&reply));
        if tracing::enabled!(tracing::Level::DEBUG) {
            let (query, parts) = &ended;
            let attempts: Vec<String> = parts
                .iter()
                .map(|p| {
                    format!(
                        "{}:{}{}",
                        p.shard,
                        p.attempts,
                        if p.value.is_some() { "+" } else { "-" }
                    )
                })
                .collect();
            let (left_ms, attempts) = (query.deadline.saturating_sub(now) / MS, attempts.join(" "));
            let word = match &reply {
                Reply::Answer { complete: true, .. } => "whole",
                Reply::Answer { .. } => "partial",
                Reply::Rejected { .. } => "refused",
                _ => "failed",
            };
            tracing::debug!(
                id,
                class = query.class,
                left_ms,
                attempts,
                "query ended: {word}"
            );
        }
        self.reply(now, ended.0.client, reply);
    }

    /// The answer from the values that are in. What the parts do not bear out is not claimed,
    /// whatever the module says: one dishonest answer costs a whole day.
    pub(super) fn answer(&mut self, (query, parts): &(Query, Vec<Part>), complete: bool) -> Reply {
        let all: f64 = parts.iter().map(|p| p.weight).sum();
        let landed: f64 = parts
            .iter()
            .filter(|p| p.value.is_some())
            .map(|p| p.weight)
            .sum();
        let holds = |share: &[f64]| {
            landed + 1e-4 >= share.get(query.class).copied().unwrap_or(1.0) * all.min(1.0)
        };
        let bears_whole = holds(&self.site.completeness_thresholds);
        if !holds(&self.site.minimum_coverages) || complete && !bears_whole {
            self.counters.faults.overstated_coverage += 1;
            tracing::error!(
                landed,
                complete,
                class = query.class,
                "an answer that its parts do not bear out"
            );
            self.counters.queries_ended.failed += 1;
            return Reply::Failed;
        }
        let hit = |p: &Part| {
            p.value.clone().map(|doc| Hit {
                shard: p.shard,
                doc,
            })
        };
        let hits = parts.iter().filter_map(hit).collect();
        if complete {
            self.counters.queries_ended.complete += 1;
        } else {
            self.counters.queries_ended.partial += 1;
        }
        Reply::Answer { complete, hits }
    }

    pub(super) fn terminate(&mut self, now: Nanos) {
        if self.terminated.is_none() {
            self.terminated = Some(now);
            let longest = self
                .site
                .deadlines
                .iter()
                .max()
                .copied()
                .unwrap_or_default();
            self.alarms.insert((now + GRACE, Alarm::GraceOver));
            self.alarms.insert((now + GRACE.max(longest), Alarm::End));
        }
    }

    /// The grace is over: no new connections, and those between requests are closed.
    pub(super) fn wind_down(&mut self) {
        self.closing = true;
        self.effects.push(Effect::StopListening);
        let idle = self.clients.iter().filter(|(_, c)| c.query.is_none());
        self.effects
            .extend(idle.map(|(client, _)| Effect::CloseClient { client: *client }));
    }

    /// Once all that was taken is answered and every client's connection has ended, nothing is left
    /// to do.
    pub(super) fn leave(&mut self) {
        if self.closing && !self.exited && self.queries.is_empty() && self.clients.is_empty() {
            self.exited = true;
            self.mark_end();
            self.effects
                .push(Effect::Exit(Box::new(self.counters.clone())));
        }
    }
}
