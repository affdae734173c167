//! The addresses of other processes.

use std::net::SocketAddr;

/// The addresses of the processes that the aggregator exchanges messages with, besides clients and
/// leaf servers.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// Where gossip messages are received; none if gossip is off.
    pub gossip_listen: Option<SocketAddr>,
    /// The other aggregators, by number.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all other aggregators at once.
    pub gossip_broadcast: Option<SocketAddr>,
}
