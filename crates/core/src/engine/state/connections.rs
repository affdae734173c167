//! Leaf servers: the list, the connections and what comes in on them.

use super::{Alarm, Engine};
use crate::api::*;
use crate::engine::leaf_connection::{Answered, LeafConnection};
use crate::engine::messages::{ConnectionId, Effect};
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::leaf::{LeafResponse, PartStatus};

impl Engine {
    pub(super) fn take_list(&mut self, now: Nanos, listing: &EndpointUpdate) {
        self.counters.endpoint_updates += 1;
        let (kind, entries, stopped) = self.replicas.take(listing);
        self.listed |= self.replicas.any_ready();
        let (index, lines, stopped_lines) = (listing.index, entries.len(), stopped.len());
        tracing::info!(
            index,
            complete = listing.snapshot,
            lines,
            stopped = stopped_lines,
            "list taken"
        );
        self.events.push(Event::EndpointsUpdated { kind, entries });
        // What waits for a replica that drains, is gone or was elsewhere never goes out: the rule
        // counts its first byte.
        for connection in stopped {
            let unsent = self
                .connections
                .get(&connection)
                .map(|(_, it)| it.unsent())
                .unwrap_or_default();
            for attempt in unsent {
                self.end_attempt(now, attempt, AttemptOutcome::NotSent);
            }
            self.pending.insert(connection);
        }
    }

    /// The list, its version, connections and queries stay; only where the list comes from changes.
    /// It is asked for anew even at the same address: whoever reloads may want just that.
    pub(super) fn reloaded(&mut self, usable: bool) {
        if !usable {
            self.counters.reloads.failed += 1;
            return;
        }
        self.counters.reloads.applied += 1;
        self.watch_list();
    }

    /// Watches the list from the version that is held on, in place of any other watch.
    pub(super) fn watch_list(&mut self) {
        self.watch += 1;
        let (watch, from, answer_within) = (self.watch, self.replicas.index, self.answer_within);
        self.effects.push(Effect::StartWatch {
            watch,
            from,
            answer_within,
        });
    }

    pub(super) fn heard(&mut self, now: Nanos, connection: ConnectionId, frame: LeafResponse) {
        let Some((_, it)) = self.connections.get_mut(&connection) else {
            return;
        };
        it.hear(now);
        self.pending.insert(connection);
        match frame {
            LeafResponse::PartResult {
                id,
                status,
                report,
                value,
            } => {
                let attempt = match it.answered(&id) {
                    Answered::Attempt(attempt) => attempt,
                    Answered::Over => return,
                    Answered::Unknown => return self.spoilt(now, connection, None),
                };
                let outcome = match status {
                    PartStatus::Ok => AttemptOutcome::Success,
                    PartStatus::Error => AttemptOutcome::Error,
                    PartStatus::Busy => AttemptOutcome::Rejected,
                };
                if let Some(part) = self
                    .parts
                    .get_mut(&attempt.0)
                    .filter(|_| outcome == AttemptOutcome::Success)
                {
                    // Checked to be text by the codec, so nothing is lost here.
                    part.value
                        .get_or_insert_with(|| String::from_utf8_lossy(&value).into_owned());
                }
                let report = self.report(&report);
                self.ended(now, attempt, outcome, report);
            }
            LeafResponse::HealthCheckResult { ok, report } => {
                let Some(probe) = it.probed() else { return };
                let outcome = if ok {
                    AttemptOutcome::Success
                } else {
                    AttemptOutcome::Error
                };
                self.probe_ended(now, probe, outcome, &report);
            }
            LeafResponse::ProtocolError(words) => {
                tracing::warn!(connection, words, "leaf server could not use a frame")
            }
            LeafResponse::Malformed(id) => self.spoilt(now, connection, id.as_deref()),
        }
    }

    /// A leaf server sent what can't be read. It is alive and ran what it answered: that attempt
    /// has failed. The others out there wait for what will never come, so they are withdrawn with
    /// the connection, at once.
    pub(super) fn spoilt(&mut self, now: Nanos, connection: ConnectionId, id: Option<&str>) {
        let Some((replica, it)) = self.connections.get_mut(&connection) else {
            return;
        };
        self.counters.connections.malformed += 1;
        tracing::info!(
            connection,
            replica = replica.0,
            id,
            "spoilt answer: its connection is closed"
        );
        let failed = it.spoilt(id);
        let others = it.written();
        if let Some(failed) = failed {
            self.ended(now, failed, AttemptOutcome::Error, LoadReport::new());
        }
        for other in others.into_iter().filter(|other| Some(*other) != failed) {
            self.ended(now, other, AttemptOutcome::Cancelled, LoadReport::new());
        }
        self.close_connection(now, connection);
    }

    /// The values of a report, in the order that the settings state; `-` or what lacks one is no
    /// report.
    pub(super) fn report(&self, text: &str) -> LoadReport {
        let value = |name: &String| {
            let mut pairs = text
                .split([',', ';'])
                .filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| key.trim() == name)
                .and_then(|(_, v)| v.trim().parse().ok().filter(|v: &f32| v.is_finite()))
        };
        self.site
            .load_report_fields
            .iter()
            .map(value)
            .collect::<Option<_>>()
            .unwrap_or_default()
    }

    /// Ends a connection that has broken, or (`ours`) that we close: the socket may have taken a
    /// frame's last byte and not have said so yet.
    pub(super) fn connection_ended(&mut self, now: Nanos, connection: ConnectionId, ours: bool) {
        let Some((id, it)) = self.connections.remove(&connection) else {
            return;
        };
        if let Some(at) = it.idle_alarm {
            self.alarms.remove(&(at, Alarm::Idle(connection)));
        }
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.connections.retain(|other| *other != connection);
        }
        let (attempts, probes) = it.end(ours);
        for (attempt, may_have_run) in attempts {
            let outcome = if may_have_run {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::Unreachable
            };
            self.ended(now, attempt, outcome, LoadReport::new());
        }
        for probe in probes {
            self.probe_ended(now, probe, AttemptOutcome::Unreachable, "");
        }
    }

    /// Closes a connection of ours, for whatever is still on it as if it had broken.
    pub(super) fn close_connection(&mut self, now: Nanos, connection: ConnectionId) {
        self.effects.push(Effect::CloseConnection { connection });
        self.connection_ended(now, connection, true);
    }

    pub(super) fn open_link(&mut self, now: Nanos, id: ReplicaId) -> Option<ConnectionId> {
        if self.connections.len() >= self.most_links {
            return None;
        }
        let connection = self.id();
        let replica = self.replicas.get_mut(id)?;
        replica.connections.push(connection);
        self.effects.push(Effect::OpenConnection {
            connection,
            address: replica.address,
        });
        self.counters.connections.opened += 1;
        self.connections
            .insert(connection, (id, LeafConnection::new(now)));
        self.alarms
            .insert((now + self.site.connect_timeout, Alarm::Connect(connection)));
        Some(connection)
    }

    /// A connection with room, the oldest first so that few stay in use; a new one where none has
    /// any.
    pub(super) fn connection_for(
        &mut self,
        now: Nanos,
        id: ReplicaId,
        wire: &str,
    ) -> Option<ConnectionId> {
        let replica = self.replicas.get(id)?;
        let fits = |connection: &&ConnectionId| {
            self.connections
                .get(connection)
                .is_some_and(|(_, it)| it.has_room(self.site.max_streams, wire))
        };
        match replica.connections.iter().find(fits) {
            Some(connection) => Some(*connection),
            None => self.open_link(now, id),
        }
    }
}
