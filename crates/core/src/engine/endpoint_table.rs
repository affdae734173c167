//! The endpoint list: the replicas that discovery has listed.

use super::ids::ConnectionId;
use super::MILLISECOND;
use crate::api::{EndpointUpdateKind, ReplicaEntry, ReplicaId, ReplicaState};
use crate::protocol::discovery::{Endpoint, EndpointUpdate, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of every zone that the settings do not name. No aggregator is in such a zone.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// One replica of a leaf server, as listed by discovery.
#[derive(Debug)]
struct ReplicaEndpoint {
    address: SocketAddr,
    zone: u16,
    state: ReplicaState,
    /// Connections to the current address of the replica, oldest first.
    connections: Vec<ConnectionId>,
}

/// Changes made by an update of the endpoint list.
pub(super) struct AppliedUpdate {
    pub(super) kind: EndpointUpdateKind,
    /// Valid lines of the update, in the form that the policy uses.
    pub(super) entries: Vec<ReplicaEntry>,
    /// Connections on which nothing new may be sent, because their replica drains, is gone or has
    /// moved to another address.
    pub(super) stopped_connections: Vec<ConnectionId>,
}

/// The listed replicas, and those that are gone but still have connections. A name keeps its id for
/// as long as the table contains it, and ids are not reused.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    ids_by_name: BTreeMap<String, ReplicaId>,
    replicas: BTreeMap<ReplicaId, ReplicaEndpoint>,
    last_id: u64,
    /// Zones that the settings name, in the order of their numbers.
    zones: Vec<String>,
    version: u64,
    has_been_ready: bool,
}

impl EndpointTable {
    pub(super) fn new(zones: Vec<String>) -> EndpointTable {
        EndpointTable {
            zones,
            ..EndpointTable::default()
        }
    }

    pub(super) fn state_of(&self, id: ReplicaId) -> Option<ReplicaState> {
        self.replicas.get(&id).map(|replica| replica.state)
    }

    /// Returns whether a replica accepts new requests.
    pub(super) fn is_ready(&self, id: ReplicaId) -> bool {
        self.state_of(id) == Some(ReplicaState::Ready)
    }

    pub(super) fn zone_of(&self, id: ReplicaId) -> Option<u16> {
        self.replicas.get(&id).map(|replica| replica.zone)
    }

    /// Returns the connections to the current address of a replica, oldest first.
    pub(super) fn connections_of(&self, id: ReplicaId) -> Option<&[ConnectionId]> {
        let replica = self.replicas.get(&id)?;
        Some(&replica.connections)
    }

    /// Returns whether a connection leads to the current address of a replica that accepts new
    /// requests.
    pub(super) fn has_ready_connection(&self, id: ReplicaId, connection: ConnectionId) -> bool {
        let replica = self.replicas.get(&id);
        replica.is_some_and(|replica| {
            replica.state == ReplicaState::Ready && replica.connections.contains(&connection)
        })
    }

    /// Adds a connection to a replica and returns the address to connect to.
    pub(super) fn add_connection(
        &mut self,
        id: ReplicaId,
        connection: ConnectionId,
    ) -> Option<SocketAddr> {
        let replica = self.replicas.get_mut(&id)?;
        replica.connections.push(connection);
        Some(replica.address)
    }

    /// Removes a connection that has ended.
    pub(super) fn remove_connection(&mut self, id: ReplicaId, connection: ConnectionId) {
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.connections.retain(|other| *other != connection);
        }
    }

    /// Returns the number of replicas in the table, including those that are gone.
    pub(super) fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns the version of the last update.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether any replica has been ready since the start of the process.
    pub(super) fn has_been_ready(&self) -> bool {
        self.has_been_ready
    }

    /// Applies an update and returns what it has changed.
    pub(super) fn apply(&mut self, update: &EndpointUpdate) -> AppliedUpdate {
        self.version = update.index;
        self.forget_gone_replicas();
        let mut stopped_connections = Vec::new();
        let mut entries = Vec::with_capacity(update.endpoints.len());
        for endpoint in &update.endpoints {
            entries.extend(self.apply_endpoint(endpoint, &mut stopped_connections));
        }
        let kind = if update.snapshot {
            self.mark_omitted_as_gone(&entries, &mut stopped_connections);
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        let not_ready = entries
            .iter()
            .filter(|entry| entry.state != ReplicaState::Ready);
        for entry in not_ready {
            let replica = self.replicas.get(&entry.replica);
            stopped_connections
                .extend(replica.into_iter().flat_map(|replica| &replica.connections));
        }
        let mut replicas = self.replicas.values();
        self.has_been_ready |= replicas.any(|replica| replica.state == ReplicaState::Ready);
        AppliedUpdate {
            kind,
            entries,
            stopped_connections,
        }
    }

    /// Removes the replicas that were gone before this update and have no connections left.
    fn forget_gone_replicas(&mut self) {
        self.replicas.retain(|_, replica| {
            replica.state != ReplicaState::Gone || !replica.connections.is_empty()
        });
        let replicas = &self.replicas;
        self.ids_by_name.retain(|_, id| replicas.contains_key(id));
    }

    /// Marks the replicas that a snapshot omits as gone.
    fn mark_omitted_as_gone(
        &mut self,
        entries: &[ReplicaEntry],
        stopped_connections: &mut Vec<ConnectionId>,
    ) {
        let present: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.replica).collect();
        for (id, replica) in &mut self.replicas {
            if !present.contains(id) {
                replica.state = ReplicaState::Gone;
                stopped_connections.extend(&replica.connections);
            }
        }
    }

    /// Applies one line of an update. Returns `None` if the line is invalid.
    fn apply_endpoint(
        &mut self,
        endpoint: &Endpoint,
        stopped_connections: &mut Vec<ConnectionId>,
    ) -> Option<ReplicaEntry> {
        let state = match endpoint.status {
            Status::Up => ReplicaState::Ready,
            Status::Draining => ReplicaState::Draining,
            Status::Removed => ReplicaState::Gone,
        };
        // The line of a known replica may lack a valid address, for example after its removal.
        let address = endpoint.address.parse().ok();
        let Some(address) = address.or_else(|| self.known_address(&endpoint.name)) else {
            tracing::warn!(
                name = endpoint.name,
                address = endpoint.address,
                "endpoint ignored: address is not valid"
            );
            return None;
        };
        let id = self.id_of(&endpoint.name);
        let zone = self.zone_number(&endpoint.zone);
        let replica = self.replicas.entry(id).or_insert(ReplicaEndpoint {
            address,
            zone,
            state,
            connections: Vec::new(),
        });
        if replica.address != address {
            // Connections to the old address only finish the attempts in flight.
            stopped_connections.append(&mut replica.connections);
        }
        replica.address = address;
        replica.zone = zone;
        replica.state = state;
        Some(ReplicaEntry {
            replica: id,
            cell: endpoint.group,
            zone,
            started_at: endpoint.since_ms.saturating_mul(MILLISECOND),
            state,
        })
    }

    fn known_address(&self, name: &str) -> Option<SocketAddr> {
        let id = self.ids_by_name.get(name)?;
        self.replicas.get(id).map(|replica| replica.address)
    }

    fn id_of(&mut self, name: &str) -> ReplicaId {
        if let Some(id) = self.ids_by_name.get(name) {
            return *id;
        }
        self.last_id += 1;
        let id = ReplicaId(self.last_id);
        self.ids_by_name.insert(name.to_string(), id);
        id
    }

    fn zone_number(&self, name: &str) -> u16 {
        let number = self.zones.iter().position(|zone| zone == name);
        number.map_or(UNKNOWN_ZONE, |number| number as u16)
    }
}
