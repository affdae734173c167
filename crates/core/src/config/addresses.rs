//! Addresses of other processes.

use std::net::SocketAddr;

/// Addresses of the processes with which the aggregator exchanges messages, apart from clients and
/// leaf servers.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Address on which gossip messages are received; `None` if gossip is off.
    pub gossip_listen: Option<SocketAddr>,
    /// Addresses of the other aggregators, indexed by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all other aggregators at once; `None` if there is no such address.
    pub gossip_broadcast: Option<SocketAddr>,
}
