//! Values by network, found by the longest prefix.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Values by network, of both address families.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NetworkMap<T> {
    ipv4: PrefixMap<Ipv4Net, T>,
    ipv6: PrefixMap<Ipv6Net, T>,
}

impl<T> Default for NetworkMap<T> {
    fn default() -> NetworkMap<T> {
        NetworkMap {
            ipv4: PrefixMap::default(),
            ipv6: PrefixMap::default(),
        }
    }
}

impl<T> NetworkMap<T> {
    pub(super) fn insert(&mut self, network: IpNet, value: T) {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.insert(network, value),
            IpNet::V6(network) => self.ipv6.insert(network, value),
        };
    }

    /// The value of exactly this network.
    pub(super) fn get(&self, network: IpNet) -> Option<&T> {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.get(&network),
            IpNet::V6(network) => self.ipv6.get(&network),
        }
    }

    /// The value of the narrowest network that contains `network`.
    pub(super) fn longest_match(&self, network: IpNet) -> Option<&T> {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.get_lpm(&network).map(|(_, value)| value),
            IpNet::V6(network) => self.ipv6.get_lpm(&network).map(|(_, value)| value),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ipv4.iter().next().is_none() && self.ipv6.iter().next().is_none()
    }
}

/// An IPv4 address in its IPv6-mapped form counts as the IPv4 address.
pub(super) fn canonical(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(ipv6) => ipv6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        IpAddr::V4(_) => address,
    }
}

/// The network of a single address.
pub(super) fn host_network(address: IpAddr) -> IpNet {
    IpNet::from(canonical(address))
}
