//! The leaf servers of an installation, by zone.

use super::layout::{REPLICA_GROUPS, ZONES};
use super::now_ms;
use crate::discovery::{EndpointChange, EndpointStatus};
use crate::leaf::{LeafOptions, LeafServer};
use std::io;
use std::net::IpAddr;

/// Leaf servers, of which those of a lost zone are not running.
pub(super) struct LeafFleet {
    ip: IpAddr,
    options: LeafOptions,
    seed: u64,
    replicas: Vec<Replica>,
}

/// A place in a zone and a replica group, taken by one leaf server after the other.
struct Replica {
    zone: usize,
    group: usize,
    server: Option<LeafServer>,
    starts: u64,
}

impl LeafFleet {
    /// A fleet of which nothing runs yet.
    pub(super) fn new(ip: IpAddr, options: LeafOptions, seed: u64) -> LeafFleet {
        let replicas = (0..ZONES.len()).flat_map(|zone| {
            (0..REPLICA_GROUPS).map(move |group| Replica {
                zone,
                group,
                server: None,
                starts: 0,
            })
        });
        LeafFleet {
            ip,
            options,
            seed,
            replicas: replicas.collect(),
        }
    }

    /// Kills the leaf servers of a zone.
    pub(super) fn stop_zone(&mut self, zone: usize) {
        for replica in &mut self.replicas {
            if replica.zone == zone {
                replica.server = None;
            }
        }
    }

    /// Starts the leaf servers of a zone at new addresses; the changes of the endpoint list.
    pub(super) async fn start_zone(
        &mut self,
        zone: usize,
        cold: bool,
    ) -> io::Result<Vec<EndpointChange>> {
        let mut changes = Vec::new();
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            if replica.zone != zone {
                continue;
            }
            replica.starts += 1;
            let seed = self.seed ^ (index as u64) << 32 ^ replica.starts;
            let server = LeafServer::start(self.ip, self.options, seed).await?;
            let since_ms = if cold { now_ms() } else { 0 };
            let change = |start: u64, status: EndpointStatus| EndpointChange {
                name: format!("s-{index}-{start}"),
                address: server.address,
                zone: ZONES[zone],
                group: replica.group,
                status,
                since_ms,
            };
            if replica.starts > 1 {
                changes.push(change(replica.starts - 1, EndpointStatus::Removed));
            }
            changes.push(change(replica.starts, EndpointStatus::Up));
            replica.server = Some(server);
        }
        Ok(changes)
    }
}
