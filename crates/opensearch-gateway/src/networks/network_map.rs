//! A map from networks to values, with lookup by longest prefix.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// A map from IPv4 and IPv6 networks to values.
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
    /// Sets the value of a network and replaces its previous value, if any.
    pub(super) fn insert(&mut self, network: IpNet, value: T) {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.insert(network, value),
            IpNet::V6(network) => self.ipv6.insert(network, value),
        };
    }

    /// Returns the value of exactly this network.
    pub(super) fn get(&self, network: IpNet) -> Option<&T> {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.get(&network),
            IpNet::V6(network) => self.ipv6.get(&network),
        }
    }

    /// Returns the value of the narrowest network that contains or equals `network`.
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

/// Converts an IPv4-mapped IPv6 address to the IPv4 address; returns other addresses unchanged.
pub(super) fn canonical(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(ipv6) => ipv6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        IpAddr::V4(_) => address,
    }
}

/// Returns the network that consists of a single address, in canonical form.
pub(super) fn host_network(address: IpAddr) -> IpNet {
    IpNet::from(canonical(address))
}
