//! Sets of IP networks.

use super::network_map::{host_network, NetworkMap};
use ipnet::IpNet;
use std::net::IpAddr;

/// A set of IPv4 and IPv6 networks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkSet {
    networks: NetworkMap<()>,
}

impl NetworkSet {
    /// Adds a network. Host bits beyond the prefix are ignored.
    pub fn insert(&mut self, network: IpNet) {
        self.networks.insert(network, ());
    }

    /// Returns whether any network of the set contains the address.
    pub fn contains(&self, address: IpAddr) -> bool {
        let network = host_network(address);
        self.networks.longest_match(network).is_some()
    }
}

impl FromIterator<IpNet> for NetworkSet {
    fn from_iter<I: IntoIterator<Item = IpNet>>(networks: I) -> NetworkSet {
        let mut set = NetworkSet::default();
        for network in networks {
            set.insert(network);
        }
        set
    }
}
