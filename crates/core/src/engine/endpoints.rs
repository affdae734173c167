//! The endpoint list: the replicas that discovery lists, and the watch on the list.

use super::effect::Effect;
use super::ids::ConnectionId;
use super::Engine;
use crate::api::{
    AttemptOutcome, EndpointUpdateKind, Event, Nanos, ReplicaEntry, ReplicaId, ReplicaState,
};
use crate::protocol::discovery::{Endpoint, EndpointUpdate, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The zone of a replica whose zone the settings do not name: it is no aggregator's own.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// One replica of a leaf server.
#[derive(Debug)]
pub(super) struct ReplicaEndpoint {
    pub(super) address: SocketAddr,
    pub(super) zone: u16,
    pub(super) state: ReplicaState,
    /// The connections to its present address, oldest first.
    pub(super) connections: Vec<ConnectionId>,
}

/// What an update of the list has changed.
pub(super) struct AppliedUpdate {
    pub(super) kind: EndpointUpdateKind,
    /// The lines of the update, for the policy.
    pub(super) entries: Vec<ReplicaEntry>,
    /// Connections on which nothing new may go out: to replicas that drain or are gone, and to
    /// former addresses of replicas.
    pub(super) stopped: Vec<ConnectionId>,
}

/// The replicas that are listed, and those gone that still have connections. Each name keeps its
/// number while it is known, and no number is given twice.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    numbers: BTreeMap<String, ReplicaId>,
    replicas: BTreeMap<ReplicaId, ReplicaEndpoint>,
    last_number: u64,
    /// The zones that the settings name, by number.
    zones: Vec<String>,
    version: u64,
    were_ever_ready: bool,
}

impl EndpointTable {
    pub(super) fn new(zones: Vec<String>) -> EndpointTable {
        EndpointTable {
            zones,
            ..EndpointTable::default()
        }
    }

    pub(super) fn get(&self, id: ReplicaId) -> Option<&ReplicaEndpoint> {
        self.replicas.get(&id)
    }

    /// A replica that takes new requests.
    pub(super) fn get_ready(&self, id: ReplicaId) -> Option<&ReplicaEndpoint> {
        self.get(id)
            .filter(|replica| replica.state == ReplicaState::Ready)
    }

    pub(super) fn get_mut(&mut self, id: ReplicaId) -> Option<&mut ReplicaEndpoint> {
        self.replicas.get_mut(&id)
    }

    /// The number of replicas that are known, those gone included.
    pub(super) fn len(&self) -> usize {
        self.replicas.len()
    }

    /// The version of the last update.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Whether any replica was ready after some update so far.
    pub(super) fn were_ever_ready(&self) -> bool {
        self.were_ever_ready
    }

    /// Applies an update.
    pub(super) fn apply(&mut self, update: &EndpointUpdate) -> AppliedUpdate {
        self.version = update.index;
        self.forget_gone_replicas();
        let mut stopped = Vec::new();
        let mut entries = Vec::with_capacity(update.endpoints.len());
        for endpoint in &update.endpoints {
            entries.extend(self.apply_endpoint(endpoint, &mut stopped));
        }
        let kind = if update.snapshot {
            self.mark_omitted_as_gone(&entries, &mut stopped);
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        let not_ready = entries
            .iter()
            .filter(|entry| entry.state != ReplicaState::Ready);
        for entry in not_ready {
            let replica = self.replicas.get(&entry.replica);
            stopped.extend(replica.into_iter().flat_map(|replica| &replica.connections));
        }
        let mut replicas = self.replicas.values();
        self.were_ever_ready |= replicas.any(|replica| replica.state == ReplicaState::Ready);
        AppliedUpdate {
            kind,
            entries,
            stopped,
        }
    }

    /// Forgets the replicas that were gone before this update and have no connections left.
    fn forget_gone_replicas(&mut self) {
        self.replicas.retain(|_, replica| {
            replica.state != ReplicaState::Gone || !replica.connections.is_empty()
        });
        let replicas = &self.replicas;
        self.numbers.retain(|_, id| replicas.contains_key(id));
    }

    /// A snapshot omits the replicas that are gone.
    fn mark_omitted_as_gone(&mut self, entries: &[ReplicaEntry], stopped: &mut Vec<ConnectionId>) {
        let present: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.replica).collect();
        for (id, replica) in &mut self.replicas {
            if !present.contains(id) {
                replica.state = ReplicaState::Gone;
                stopped.extend(&replica.connections);
            }
        }
    }

    /// Applies one line of an update; none where the line can't be used.
    fn apply_endpoint(
        &mut self,
        endpoint: &Endpoint,
        stopped: &mut Vec<ConnectionId>,
    ) -> Option<ReplicaEntry> {
        let state = match endpoint.status {
            Status::Up => ReplicaState::Ready,
            Status::Draining => ReplicaState::Draining,
            Status::Removed => ReplicaState::Gone,
        };
        // What is gone needs no address; what is up can't be reached without one.
        let address = endpoint.address.parse().ok();
        let Some(address) = address.or_else(|| self.known_address(&endpoint.name)) else {
            tracing::warn!(
                name = endpoint.name,
                address = endpoint.address,
                "endpoint without a valid address"
            );
            return None;
        };
        let id = self.number_of(&endpoint.name);
        let zone = self.zone_number(&endpoint.zone);
        let replica = self.replicas.entry(id).or_insert(ReplicaEndpoint {
            address,
            zone,
            state,
            connections: Vec::new(),
        });
        if replica.address != address {
            // Its connections lead to the old address: they only finish what is in flight.
            stopped.append(&mut replica.connections);
        }
        replica.address = address;
        replica.zone = zone;
        replica.state = state;
        Some(ReplicaEntry {
            replica: id,
            cell: endpoint.group,
            zone,
            started: endpoint.since_ms.saturating_mul(super::MILLISECOND),
            state,
        })
    }

    fn known_address(&self, name: &str) -> Option<SocketAddr> {
        let id = self.numbers.get(name)?;
        self.replicas.get(id).map(|replica| replica.address)
    }

    fn number_of(&mut self, name: &str) -> ReplicaId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        self.last_number += 1;
        let id = ReplicaId(self.last_number);
        self.numbers.insert(name.to_string(), id);
        id
    }

    fn zone_number(&self, name: &str) -> u16 {
        let number = self.zones.iter().position(|zone| zone == name);
        number.map_or(UNKNOWN_ZONE, |number| number as u16)
    }
}

/// The watch on the endpoint list.
#[derive(Debug)]
pub(super) struct CurrentWatch {
    /// The number of the present watch, or of the last one; they count from 1.
    number: u64,
    answer_timeout: Nanos,
}

impl CurrentWatch {
    pub(super) fn new(answer_timeout: Nanos) -> CurrentWatch {
        CurrentWatch {
            number: 0,
            answer_timeout,
        }
    }
}

impl Engine {
    pub(super) fn on_endpoints_updated(&mut self, now: Nanos, update: &EndpointUpdate) {
        self.counters.endpoint_updates += 1;
        let AppliedUpdate {
            kind,
            entries,
            stopped,
        } = self.endpoints.apply(update);
        tracing::info!(
            version = update.index,
            complete = update.snapshot,
            lines = entries.len(),
            stopped_connections = stopped.len(),
            "endpoint list updated"
        );
        self.events.push(Event::EndpointsUpdated { kind, entries });
        // What waits for a replica that drains, is gone or has moved must never go out: an attempt
        // counts as sent with its first byte.
        for connection in stopped {
            for attempt in self.connections.unsent_attempts(connection) {
                self.end_attempt(now, attempt, AttemptOutcome::NotSent);
            }
            self.connections.mark_pending(connection);
        }
    }

    pub(super) fn on_watch_ended(&mut self, watch: u64) {
        // A watch that was replaced may report its end late, which says nothing about the present
        // one.
        if watch == self.watch.number {
            self.events.push(Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Unavailable,
                entries: Vec::new(),
            });
        }
    }

    /// The endpoint list, connections and queries are kept; only the source of the list may have
    /// changed. The watch is restarted even if it has not: that may be what the reload is for.
    pub(super) fn on_configuration_reloaded(&mut self, usable: bool) {
        if !usable {
            self.counters.reloads.failed += 1;
            return;
        }
        self.counters.reloads.applied += 1;
        self.start_watch();
    }

    /// Watches the list from the present version on, in place of any other watch.
    pub(super) fn start_watch(&mut self) {
        self.watch.number += 1;
        self.effects.push(Effect::StartWatch {
            watch: self.watch.number,
            from: self.endpoints.version(),
            answer_within: self.watch.answer_timeout,
        });
    }
}
