//! Replicas: their state on the endpoint list and what has been measured.

use crate::api::{
    EndpointUpdateKind, Nanos, PolicySettings, ReplicaEntry, ReplicaId, ReplicaState,
};
use crate::stats::{blend, Ewma, SlidingWindow};
use std::collections::{BTreeMap, BTreeSet};

/// How the connection of an attempt was used before the attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Used recently, or its use is not known.
    #[default]
    RecentlyUsed,
    /// Without use for long: a device on the path may have dropped it without notice.
    LongIdle,
    /// Newly opened in place of one without use for long.
    Renewed,
}

/// A replica as this aggregator knows it.
#[derive(Debug, Default)]
pub struct ReplicaRecord {
    /// Its identifier.
    pub id: ReplicaId,
    /// Its placement cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u16,
    /// When it last started; 0 means long ago.
    pub started: Nanos,
    /// Its state on the endpoint list.
    pub state: ReplicaState,
    /// Smoothed latency, ns; none before the first measurement.
    pub latency: Option<f64>,
    /// When `latency` last changed.
    pub latency_updated: Nanos,
    /// When it last responded in any way; 0 before the first response.
    pub last_response: Nanos,
    /// Smoothed time between two results while it had work of ours, ns.
    pub result_interval: Ewma,
    /// When the last result was received.
    pub last_result: Nanos,
    /// The connection of the last attempt.
    pub connection: ConnectionUse,
    /// The connections of the attempts lost since its last response.
    pub lost_connections: Vec<ConnectionUse>,
    /// The calls of this aggregator that are in flight.
    pub outstanding: OutstandingCalls,
    /// Ejections since its last response.
    pub consecutive_failures: u32,
    /// It has been ejected and has not responded since.
    pub is_outlier: bool,
    /// Other replicas are preferred until then, since it is ejected.
    pub ejected_until: Nanos,
    /// Other replicas are preferred until then, since it rejected a part.
    pub saturated_until: Nanos,
    /// Parts sent to it in the last overload window.
    pub recent_parts: SlidingWindow<()>,
}

impl ReplicaRecord {
    /// How long the oldest call in flight has been without any response of the replica; 0 without a
    /// call.
    pub fn time_without_response(&self, now: Nanos) -> Nanos {
        let oldest = self.outstanding.oldest();
        oldest.map_or(0, |sent| now - sent.max(self.last_response))
    }

    /// The number of calls in flight; see [`OutstandingCalls::count`].
    pub fn open_calls(&self, now: Nanos, max_parts: u32) -> f64 {
        f64::from(self.outstanding.count(now, max_parts))
    }

    /// The expected time until one more part is answered, ns: the parts in flight times the time
    /// between two results. Without a result, that time fades over `fade_time`, ns.
    pub fn expected_wait(&self, now: Nanos, fade_time: f64) -> f64 {
        let since_result = now.saturating_sub(self.last_result) as f64;
        let fading = (-(since_result / fade_time)).exp();
        let interval = self.result_interval.value().unwrap_or(0.0);
        let queued = interval * f64::from(self.outstanding.parts() + 1) * fading;
        queued.max(self.time_without_response(now) as f64)
    }

    /// When it last responded or was measured.
    pub fn last_activity(&self) -> Nanos {
        self.last_response.max(self.latency_updated)
    }

    /// Records that a part is sent now; parts sent before `oldest` are no longer recent.
    pub fn record_part(&mut self, now: Nanos, oldest: Nanos) {
        self.outstanding.add_part(now);
        self.recent_parts.push(now, ());
        self.recent_parts.expire(oldest);
    }

    /// Records a result of a call that was sent then.
    pub fn record_result(&mut self, sent: Nanos, now: Nanos, weight: f64) {
        let oldest = self.outstanding.oldest().unwrap_or(sent);
        let interval = (now - self.last_result.max(oldest)) as f64;
        self.result_interval.add(interval, weight);
        self.last_result = now;
    }

    /// Records a sample of the latency, which was `smoothed` so far.
    pub fn record_latency(&mut self, now: Nanos, smoothed: f64, sample: f64, weight: f64) {
        self.latency = Some(blend(smoothed, sample, weight));
        self.latency_updated = now;
    }

    /// Records a response of any kind, which ends an ejection. Returns the connections of the
    /// attempts lost since the last response.
    pub fn record_response(&mut self, now: Nanos) -> Vec<ConnectionUse> {
        self.last_response = now;
        self.is_outlier = false;
        self.ejected_until = 0;
        self.consecutive_failures = 0;
        std::mem::take(&mut self.lost_connections)
    }

    /// Records that it did not respond and is ejected.
    pub fn eject(&mut self, until: Nanos) {
        self.consecutive_failures += 1;
        self.is_outlier = true;
        self.ejected_until = until;
    }

    /// Forgets what was measured before a restart.
    fn restart(&mut self, started: Nanos) {
        self.started = started;
        self.latency = None;
        self.result_interval = Ewma::default();
        self.consecutive_failures = 0;
        self.is_outlier = false;
    }
}

/// The calls to one replica that are in flight, by the time each was sent, with the number of its
/// parts without a result.
#[derive(Debug, Default)]
pub struct OutstandingCalls {
    calls: BTreeMap<Nanos, u32>,
}

impl OutstandingCalls {
    /// Adds a part to the call that is sent now.
    pub fn add_part(&mut self, now: Nanos) {
        *self.calls.entry(now).or_insert(0) += 1;
    }

    /// Removes a part of the call that was sent then.
    pub fn remove_part(&mut self, sent: Nanos) {
        let Some(parts) = self.calls.get_mut(&sent) else {
            return;
        };
        *parts -= 1;
        if *parts == 0 {
            self.calls.remove(&sent);
        }
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call is sent now.
    pub fn has_call_of(&self, now: Nanos) -> bool {
        self.calls.contains_key(&now)
    }

    /// When the oldest call was sent.
    pub fn oldest(&self) -> Option<Nanos> {
        self.calls.first_key_value().map(|(sent, _)| *sent)
    }

    /// The number of parts in flight.
    pub fn parts(&self) -> u32 {
        self.calls.values().sum()
    }

    /// The number of calls in flight, where a call has at most `max_parts` parts. A call that is
    /// sent now and can take one more part is not counted.
    pub fn count(&self, now: Nanos, max_parts: u32) -> u32 {
        let calls = self.calls.iter().map(|(sent, parts)| {
            if *sent == now {
                parts / max_parts
            } else {
                parts.div_ceil(max_parts)
            }
        });
        calls.sum()
    }
}

/// All replicas that are known.
#[derive(Debug, Default)]
pub struct KnownReplicas {
    replicas: BTreeMap<ReplicaId, ReplicaRecord>,
}

impl KnownReplicas {
    /// The number of replicas known, those gone included.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// A replica by its identifier.
    pub fn get(&self, id: ReplicaId) -> Option<&ReplicaRecord> {
        self.replicas.get(&id)
    }

    /// A replica by its identifier, to change it.
    pub fn get_mut(&mut self, id: ReplicaId) -> Option<&mut ReplicaRecord> {
        self.replicas.get_mut(&id)
    }

    /// The replicas that are ready, in order of their identifiers.
    pub fn ready(&self) -> impl Iterator<Item = &ReplicaRecord> {
        let replicas = self.replicas.values();
        replicas.filter(|replica| replica.state == ReplicaState::Ready)
    }

    /// The ready replicas that hold a shard, by the placement that the settings state.
    pub fn holders(
        &self,
        settings: &PolicySettings,
        shard: u32,
    ) -> impl Iterator<Item = &ReplicaRecord> {
        let (cells, per_shard) = (settings.placement_cells.max(1), settings.cells_per_shard);
        let distance = move |cell: u16| (u32::from(cell) + cells - shard % cells) % cells;
        self.ready()
            .filter(move |replica| distance(replica.cell) < per_shard)
    }

    /// Applies an update of the endpoint list. The measurements of a replica that has restarted are
    /// reset.
    pub fn apply(&mut self, kind: EndpointUpdateKind, entries: &[ReplicaEntry]) {
        if kind != EndpointUpdateKind::Delta {
            let on_list: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.replica).collect();
            for (id, replica) in &mut self.replicas {
                if !on_list.contains(id) {
                    replica.state = ReplicaState::Gone;
                }
            }
        }
        for entry in entries {
            let new = ReplicaRecord {
                id: entry.replica,
                started: entry.started,
                ..ReplicaRecord::default()
            };
            let replica = self.replicas.entry(entry.replica).or_insert(new);
            replica.cell = entry.cell;
            replica.zone = entry.zone;
            replica.state = entry.state;
            if entry.state == ReplicaState::Ready && replica.started != entry.started {
                replica.restart(entry.started);
            }
        }
    }

    /// Forgets the replicas that are gone, have no call of this aggregator in flight, and whose
    /// measurements are not newer than `oldest`.
    pub fn forget_gone(&mut self, oldest: Nanos) {
        self.replicas.retain(|_, replica| {
            replica.state != ReplicaState::Gone
                || !replica.outstanding.is_empty()
                || replica.latency_updated > oldest
        });
    }
}
