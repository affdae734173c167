//! The leaf servers of an installation, by zone.

use super::layout::{REPLICA_GROUPS, ZONES};
use super::now_ms;
use crate::discovery::{EndpointChange, EndpointStatus};
use crate::leaf::{LeafOptions, LeafServer};
use std::io;
use std::net::IpAddr;

/// When discovery says that leaf servers were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafStart {
    /// They have warmed up and take their full load at once.
    LongAgo,
    /// They have to warm up.
    JustNow,
}

/// The leaf servers of all zones; those of a lost zone are not running.
pub(super) struct LeafFleet {
    ip: IpAddr,
    options: LeafOptions,
    seed: u64,
    replicas: Vec<Replica>,
}

/// A position in a zone and a replica group; each start puts a new leaf server there.
struct Replica {
    zone: usize,
    group: usize,
    server: Option<LeafServer>,
    starts: u64,
}

impl LeafFleet {
    /// Creates a fleet without a running server.
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

    /// Starts the leaf servers of a zone at new addresses; returns the changes of the endpoint
    /// list.
    pub(super) async fn start_zone(
        &mut self,
        zone: usize,
        start: LeafStart,
    ) -> io::Result<Vec<EndpointChange>> {
        let mut changes = Vec::new();
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            if replica.zone != zone {
                continue;
            }
            replica.starts += 1;
            let seed = self.seed ^ (index as u64) << 32 ^ replica.starts;
            let server = LeafServer::start(self.ip, self.options, seed).await?;
            let since_ms = match start {
                LeafStart::LongAgo => 0,
                LeafStart::JustNow => now_ms(),
            };
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
