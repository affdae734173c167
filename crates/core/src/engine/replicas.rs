//! The leaf servers as discovery has told them, and their numbers for the decision module.

use super::messages::ConnectionId;
use crate::api::{EndpointUpdateKind, ReplicaEntry, ReplicaId, ReplicaState};
use crate::protocol::discovery::{Endpoint, EndpointUpdate, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Debug)]
pub struct Replica {
    pub address: SocketAddr,
    pub zone: u16,
    pub state: ReplicaState,
    /// Its connections, oldest first.
    pub connections: Vec<ConnectionId>,
}

/// The replicas listed, and those gone that still have connections. Each name has one number while
/// it is known; no number is given twice.
#[derive(Debug, Default)]
pub struct Replicas {
    numbers: BTreeMap<String, ReplicaId>,
    known: BTreeMap<ReplicaId, Replica>,
    last: u64,
    zones: Vec<String>,
    /// The version of the last list taken.
    pub index: u64,
}

/// A zone that the settings do not name: nobody's own.
const NO_ZONE: u16 = u16::MAX;

impl Replicas {
    pub fn new(zones: Vec<String>) -> Replicas {
        Replicas {
            zones,
            ..Replicas::default()
        }
    }

    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.known.get(&id)
    }

    pub fn get_mut(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        self.known.get_mut(&id)
    }

    /// How many are known, those gone included.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    pub fn any_ready(&self) -> bool {
        self.known.values().any(|r| r.state == ReplicaState::Ready)
    }

    /// Takes a list over. Returns its lines for the module and the connections on which nothing new
    /// may go out now: to replicas that drain or are gone, and to where one was before it moved.
    pub fn take(
        &mut self,
        listing: &EndpointUpdate,
    ) -> (EndpointUpdateKind, Vec<ReplicaEntry>, Vec<ConnectionId>) {
        self.index = listing.index;
        // Those gone for longer than since the last list have nothing left to end.
        self.known
            .retain(|_, r| r.state != ReplicaState::Gone || !r.connections.is_empty());
        let known = &self.known;
        self.numbers.retain(|_, id| known.contains_key(id));
        let mut stopped = Vec::new();
        let entries = listing
            .endpoints
            .iter()
            .filter_map(|e| self.member(e, &mut stopped));
        let entries: Vec<ReplicaEntry> = entries.collect();
        if listing.snapshot {
            let listed: BTreeSet<ReplicaId> = entries.iter().map(|m| m.replica).collect();
            for (_, replica) in self.known.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                replica.state = ReplicaState::Gone;
                stopped.extend(&replica.connections);
            }
        }
        let ended = entries.iter().filter(|m| m.state != ReplicaState::Ready);
        stopped.extend(
            ended
                .filter_map(|m| self.known.get(&m.replica))
                .flat_map(|r| &r.connections),
        );
        let kind = if listing.snapshot {
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        (kind, entries, stopped)
    }

    fn member(
        &mut self,
        endpoint: &Endpoint,
        stopped: &mut Vec<ConnectionId>,
    ) -> Option<ReplicaEntry> {
        let state = match endpoint.status {
            Status::Up => ReplicaState::Ready,
            Status::Draining => ReplicaState::Draining,
            Status::Removed => ReplicaState::Gone,
        };
        let number = self.numbers.get(&endpoint.name).copied();
        let known = number.and_then(|id| self.known.get(&id)).map(|r| r.address);
        // What is gone needs no address; what is up can't be reached without one.
        let Some(address) = endpoint.address.parse().ok().or(known) else {
            tracing::warn!(
                name = endpoint.name,
                address = endpoint.address,
                "listed without a usable address"
            );
            return None;
        };
        let id = *self
            .numbers
            .entry(endpoint.name.clone())
            .or_insert_with(|| {
                self.last += 1;
                ReplicaId(self.last)
            });
        let zone = self.zones.iter().position(|zone| *zone == endpoint.zone);
        let zone = zone.map_or(NO_ZONE, |zone| zone as u16);
        let replica = self.known.entry(id).or_insert(Replica {
            address,
            zone,
            state,
            connections: Vec::new(),
        });
        if replica.address != address {
            // It has moved: its old connections lead elsewhere and only end what is out on them.
            stopped.append(&mut replica.connections);
        }
        (replica.address, replica.zone, replica.state) = (address, zone, state);
        Some(ReplicaEntry {
            replica: id,
            cell: endpoint.group,
            zone,
            started: endpoint.since_ms.saturating_mul(1_000_000),
            state,
        })
    }
}
