//! Records of replicas: their state on the endpoint list and their measurements.

use crate::api::{
    EndpointUpdateKind, Nanos, PolicySettings, ReplicaEntry, ReplicaId, ReplicaState,
};
use crate::stats::{weighted_mean, Ewma, SlidingWindow};
use std::collections::{BTreeMap, BTreeSet};

/// Use of an attempt's connection before the attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The connection was used recently, or the time of its last use is unknown.
    #[default]
    RecentlyUsed,
    /// The connection was idle for a long time. A device on the network path may have dropped it
    /// without notice.
    LongIdle,
    /// The connection is new and replaces a long-idle one.
    Renewed,
}

/// A replica, with its state on the endpoint list and the measurements of this aggregator.
#[derive(Debug, Default)]
pub struct ReplicaRecord {
    /// Identifier of the replica.
    pub id: ReplicaId,
    /// Placement cell of the replica.
    pub cell: u16,
    /// Zone of the replica.
    pub zone: u16,
    /// Time of the last start; 0 if the replica started long ago.
    pub started_at: Nanos,
    /// State on the endpoint list.
    pub state: ReplicaState,
    /// Smoothed latency, ns; `None` before the first measurement.
    pub latency: Option<f64>,
    /// Time at which `latency` last changed.
    pub latency_updated_at: Nanos,
    /// Time of the last response of any kind; 0 before the first one.
    pub last_response: Nanos,
    /// Smoothed time between two results while calls of this aggregator were in flight, ns.
    pub result_interval: Ewma,
    /// Time of the last result; 0 before the first one.
    pub last_result: Nanos,
    /// Kind of connection that the last call was sent on.
    pub connection: ConnectionUse,
    /// Kinds of connections of the attempts lost since the last response, in the order of the
    /// losses.
    pub lost_connections: Vec<ConnectionUse>,
    /// Calls of this aggregator that are in flight.
    pub outstanding: OutstandingCalls,
    /// Number of ejections since the last response.
    pub consecutive_ejections: u32,
    /// Whether the replica has been ejected and has not responded since.
    pub is_outlier: bool,
    /// Time until which other replicas are preferred because this one is ejected; 0 after a
    /// response.
    pub ejected_until: Nanos,
    /// Time until which other replicas are preferred because this one rejected a part.
    pub saturated_until: Nanos,
    /// Parts sent to the replica in the last overload window.
    pub recent_parts: SlidingWindow<()>,
}

impl ReplicaRecord {
    /// Returns the time for which the oldest call in flight has waited without any response of the
    /// replica, or 0 if no call is in flight.
    pub fn time_without_response(&self, now: Nanos) -> Nanos {
        let oldest = self.outstanding.oldest_sent_at();
        oldest.map_or(0, |sent_at| now - sent_at.max(self.last_response))
    }

    /// Returns the number of calls in flight; see [`OutstandingCalls::count`].
    pub fn open_calls(&self, now: Nanos, max_parts: u32) -> f64 {
        f64::from(self.outstanding.count(now, max_parts))
    }

    /// Returns the expected time until one more part is answered, ns. This is the number of parts
    /// in flight, that part included, times the interval between results. While no result arrives,
    /// the interval decays with the time constant `decay_time`, ns. The wait is at least the time
    /// without a response.
    pub fn expected_wait(&self, now: Nanos, decay_time: f64) -> f64 {
        let since_result = now.saturating_sub(self.last_result) as f64;
        let remaining = (-(since_result / decay_time)).exp();
        let interval = self.result_interval.value().unwrap_or(0.0);
        let queue_wait = interval * f64::from(self.outstanding.parts() + 1) * remaining;
        queue_wait.max(self.time_without_response(now) as f64)
    }

    /// Returns the time of the last response or latency measurement.
    pub fn last_activity(&self) -> Nanos {
        self.last_response.max(self.latency_updated_at)
    }

    /// Records a part that is sent now. Parts sent before `recent_since` are no longer recent.
    pub fn record_part(&mut self, now: Nanos, recent_since: Nanos) {
        self.outstanding.add_part(now);
        self.recent_parts.push(now, ());
        self.recent_parts.expire(recent_since);
    }

    /// Records a result of a call that was sent at the time `sent_at`. `weight`, from 0 to 1, is
    /// the weight of the new interval in the average.
    pub fn record_result(&mut self, sent_at: Nanos, now: Nanos, weight: f64) {
        let oldest = self.outstanding.oldest_sent_at().unwrap_or(sent_at);
        let interval = (now - self.last_result.max(oldest)) as f64;
        self.result_interval.add(interval, weight);
        self.last_result = now;
    }

    /// Records a latency sample, ns, with a weight from 0 to 1. `smoothed` is the smoothed latency
    /// before the sample, ns.
    pub fn record_latency(&mut self, now: Nanos, smoothed: f64, sample: f64, weight: f64) {
        self.latency = Some(weighted_mean(smoothed, sample, weight));
        self.latency_updated_at = now;
    }

    /// Records a response of any kind, which ends an ejection. Returns the kinds of connections of
    /// the attempts lost since the previous response.
    pub fn record_response(&mut self, now: Nanos) -> Vec<ConnectionUse> {
        self.last_response = now;
        self.is_outlier = false;
        self.ejected_until = 0;
        self.consecutive_ejections = 0;
        std::mem::take(&mut self.lost_connections)
    }

    /// Ejects the replica until the time `until`, unless it responds earlier.
    pub fn eject(&mut self, until: Nanos) {
        self.consecutive_ejections += 1;
        self.is_outlier = true;
        self.ejected_until = until;
    }

    /// Records a restart, and resets the latency, the result interval and the outlier state.
    fn restart(&mut self, started_at: Nanos) {
        self.started_at = started_at;
        self.latency = None;
        self.result_interval = Ewma::default();
        self.consecutive_ejections = 0;
        self.is_outlier = false;
    }
}

/// The calls to one replica that are in flight.
#[derive(Debug, Default)]
pub struct OutstandingCalls {
    /// Number of parts in flight, by the time at which they were sent.
    parts_by_send_time: BTreeMap<Nanos, u32>,
}

impl OutstandingCalls {
    /// Adds a part to the call that is sent now.
    pub fn add_part(&mut self, now: Nanos) {
        *self.parts_by_send_time.entry(now).or_insert(0) += 1;
    }

    /// Removes a part of the call that was sent at the time `sent_at`.
    pub fn remove_part(&mut self, sent_at: Nanos) {
        let Some(parts) = self.parts_by_send_time.get_mut(&sent_at) else {
            return;
        };
        *parts -= 1;
        if *parts == 0 {
            self.parts_by_send_time.remove(&sent_at);
        }
    }

    /// Returns whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.parts_by_send_time.is_empty()
    }

    /// Returns whether a call is sent at the time `now`, which further parts can share.
    pub fn has_call_of(&self, now: Nanos) -> bool {
        self.parts_by_send_time.contains_key(&now)
    }

    /// Returns the time at which the oldest call was sent, or `None` if no call is in flight.
    pub fn oldest_sent_at(&self) -> Option<Nanos> {
        self.parts_by_send_time
            .first_key_value()
            .map(|(sent_at, _)| *sent_at)
    }

    /// Returns the number of parts in flight.
    pub fn parts(&self) -> u32 {
        self.parts_by_send_time.values().sum()
    }

    /// Returns the number of calls in flight if each call has at most `max_parts` parts. A call
    /// that is sent at the time `now` and can take one more part is not counted.
    pub fn count(&self, now: Nanos, max_parts: u32) -> u32 {
        let calls = self.parts_by_send_time.iter().map(|(sent_at, parts)| {
            if *sent_at == now {
                parts / max_parts
            } else {
                parts.div_ceil(max_parts)
            }
        });
        calls.sum()
    }
}

/// The replicas on the endpoint list, and those that have left the list but are still tracked.
#[derive(Debug, Default)]
pub struct KnownReplicas {
    replicas: BTreeMap<ReplicaId, ReplicaRecord>,
}

impl KnownReplicas {
    /// Returns the number of tracked replicas, including those that are gone.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns the replica with this identifier.
    pub fn get(&self, id: ReplicaId) -> Option<&ReplicaRecord> {
        self.replicas.get(&id)
    }

    /// Returns the replica with this identifier, mutably.
    pub fn get_mut(&mut self, id: ReplicaId) -> Option<&mut ReplicaRecord> {
        self.replicas.get_mut(&id)
    }

    /// Returns the replicas that are ready, in the order of their identifiers.
    pub fn ready(&self) -> impl Iterator<Item = &ReplicaRecord> {
        let replicas = self.replicas.values();
        replicas.filter(|replica| replica.state == ReplicaState::Ready)
    }

    /// Returns the ready replicas that hold a shard according to the placement in the settings, in
    /// the order of their identifiers.
    pub fn holders(
        &self,
        settings: &PolicySettings,
        shard: u32,
    ) -> impl Iterator<Item = &ReplicaRecord> {
        let (cells, cells_per_shard) = (settings.placement_cells.max(1), settings.cells_per_shard);
        let distance = move |cell: u16| (u32::from(cell) + cells - shard % cells) % cells;
        self.ready()
            .filter(move |replica| distance(replica.cell) < cells_per_shard)
    }

    /// Applies an update of the endpoint list, which is complete unless `kind` is
    /// [`EndpointUpdateKind::Delta`]. Replicas that are missing from a complete list are gone.
    /// Replicas that have restarted lose their measurements.
    pub fn apply(&mut self, kind: EndpointUpdateKind, entries: &[ReplicaEntry]) {
        if kind != EndpointUpdateKind::Delta {
            let listed: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.replica).collect();
            for (id, replica) in &mut self.replicas {
                if !listed.contains(id) {
                    replica.state = ReplicaState::Gone;
                }
            }
        }
        for entry in entries {
            let new_replica = ReplicaRecord {
                id: entry.replica,
                started_at: entry.started_at,
                ..ReplicaRecord::default()
            };
            let replica = self.replicas.entry(entry.replica).or_insert(new_replica);
            replica.cell = entry.cell;
            replica.zone = entry.zone;
            replica.state = entry.state;
            if entry.state == ReplicaState::Ready && replica.started_at != entry.started_at {
                replica.restart(entry.started_at);
            }
        }
    }

    /// Removes the replicas that are gone, have no call in flight, and whose latency was last
    /// measured at the time `oldest` or before.
    pub fn remove_gone(&mut self, oldest: Nanos) {
        self.replicas.retain(|_, replica| {
            replica.state != ReplicaState::Gone
                || !replica.outstanding.is_empty()
                || replica.latency_updated_at > oldest
        });
    }
}
