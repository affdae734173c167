//! The endpoint list: the replicas that discovery lists.

use super::ids::ConnectionId;
use super::MILLISECOND;
use crate::api::{EndpointUpdateKind, ReplicaEntry, ReplicaId, ReplicaState};
use crate::protocol::discovery::{Endpoint, EndpointUpdate, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The zone of a replica whose zone the settings do not name. No aggregator is in it.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// One replica of a leaf server, as it is listed.
#[derive(Debug)]
struct ReplicaEndpoint {
    address: SocketAddr,
    zone: u16,
    state: ReplicaState,
    /// The connections to its present address, oldest first.
    connections: Vec<ConnectionId>,
}

/// What an update of the list has changed.
pub(super) struct AppliedUpdate {
    pub(super) kind: EndpointUpdateKind,
    /// The lines of the update, for the policy.
    pub(super) entries: Vec<ReplicaEntry>,
    /// Connections on which nothing new may be sent: to replicas that drain or are gone, and to
    /// former addresses of replicas.
    pub(super) stopped: Vec<ConnectionId>,
}

/// The replicas that are listed, and those gone that still have connections. Each name has the same
/// id for as long as it is known, and no id is used twice.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    ids_by_name: BTreeMap<String, ReplicaId>,
    replicas: BTreeMap<ReplicaId, ReplicaEndpoint>,
    last_id: u64,
    /// The zones that the settings name, by number.
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

    /// Whether a replica takes new requests.
    pub(super) fn is_ready(&self, id: ReplicaId) -> bool {
        self.state_of(id) == Some(ReplicaState::Ready)
    }

    pub(super) fn zone_of(&self, id: ReplicaId) -> Option<u16> {
        self.replicas.get(&id).map(|replica| replica.zone)
    }

    /// The connections to the present address of a replica, oldest first.
    pub(super) fn connections_of(&self, id: ReplicaId) -> Option<&[ConnectionId]> {
        let replica = self.replicas.get(&id)?;
        Some(&replica.connections)
    }

    /// Whether a connection leads to the present address of a replica that takes new requests.
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

    /// The number of replicas that are known, those gone included.
    pub(super) fn len(&self) -> usize {
        self.replicas.len()
    }

    /// The version of the last update.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Whether any replica was ready after some update so far.
    pub(super) fn has_been_ready(&self) -> bool {
        self.has_been_ready
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
        self.has_been_ready |= replicas.any(|replica| replica.state == ReplicaState::Ready);
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
        self.ids_by_name.retain(|_, id| replicas.contains_key(id));
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

    /// Applies one line of an update; none where the line is unusable.
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
        // The line of a replica that is known may lack a valid address, as after its removal.
        let address = endpoint.address.parse().ok();
        let Some(address) = address.or_else(|| self.known_address(&endpoint.name)) else {
            tracing::warn!(
                name = endpoint.name,
                address = endpoint.address,
                "endpoint without a valid address"
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
            started: endpoint.since_ms.saturating_mul(MILLISECOND),
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
