//! Leaf servers of an installation, started and stopped by zone.

use super::layout::{REPLICA_GROUPS, ZONES};
use super::now_ms;
use crate::discovery::{EndpointChange, EndpointStatus};
use crate::leaf::{LeafOptions, LeafServer};
use std::io;
use std::net::IpAddr;

/// Start time that discovery publishes for leaf servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafStart {
    /// The leaf servers count as warmed up and get their full load immediately.
    LongAgo,
    /// The leaf servers have just started: aggregators apply slow start.
    JustNow,
}

/// Leaf servers of all zones, those of a stopped zone included.
pub(super) struct LeafFleet {
    ip: IpAddr,
    options: LeafOptions,
    seed: u64,
    replicas: Vec<Replica>,
}

/// Replica of a replica group in one zone. Every start replaces its leaf server with a new one.
struct Replica {
    zone: usize,
    group: usize,
    server: Option<LeafServer>,
    start_count: u64,
}

impl LeafFleet {
    /// Creates a fleet of which no leaf server runs.
    pub(super) fn new(ip: IpAddr, options: LeafOptions, seed: u64) -> LeafFleet {
        let replicas = (0..ZONES.len()).flat_map(|zone| {
            (0..REPLICA_GROUPS).map(move |group| Replica {
                zone,
                group,
                server: None,
                start_count: 0,
            })
        });
        LeafFleet {
            ip,
            options,
            seed,
            replicas: replicas.collect(),
        }
    }

    /// Stops the leaf servers of a zone abruptly.
    pub(super) fn stop_zone(&mut self, zone: usize) {
        for replica in &mut self.replicas {
            if replica.zone == zone {
                replica.server = None;
            }
        }
    }

    /// Starts the leaf servers of a zone at new addresses. Returns the changes to publish in the
    /// endpoint list.
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
            replica.start_count += 1;
            let seed = self.seed ^ (index as u64) << 32 ^ replica.start_count;
            let server = LeafServer::start(self.ip, self.options, seed).await?;
            let since_ms = match start {
                LeafStart::LongAgo => 0,
                LeafStart::JustNow => now_ms(),
            };
            let change = |start_number: u64, status: EndpointStatus| EndpointChange {
                name: format!("s-{index}-{start_number}"),
                address: server.address,
                zone: ZONES[zone],
                group: replica.group,
                status,
                since_ms,
            };
            if replica.start_count > 1 {
                changes.push(change(replica.start_count - 1, EndpointStatus::Removed));
            }
            changes.push(change(replica.start_count, EndpointStatus::Up));
            replica.server = Some(server);
        }
        Ok(changes)
    }
}
