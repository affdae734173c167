//! IP networks: trusted proxies, and tenants by the network that a request comes from. Pure.
//!
//! Networks are matched by their longest prefix. Where a client connects through proxies, its
//! address is the last one in `X-Forwarded-For` that is not a trusted proxy's; the header is
//! ignored on connections that do not come from a trusted proxy.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Values by network, of both address families.
#[derive(Clone, Debug, PartialEq)]
struct NetworkMap<T> {
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
    fn insert(&mut self, network: IpNet, value: T) {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.insert(network, value),
            IpNet::V6(network) => self.ipv6.insert(network, value),
        };
    }

    /// The value of exactly this network.
    fn get(&self, network: IpNet) -> Option<&T> {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.get(&network),
            IpNet::V6(network) => self.ipv6.get(&network),
        }
    }

    /// The value of the narrowest network that contains `network`.
    fn longest_match(&self, network: IpNet) -> Option<&T> {
        match network.trunc() {
            IpNet::V4(network) => self.ipv4.get_lpm(&network).map(|(_, value)| value),
            IpNet::V6(network) => self.ipv6.get_lpm(&network).map(|(_, value)| value),
        }
    }

    fn is_empty(&self) -> bool {
        self.ipv4.iter().next().is_none() && self.ipv6.iter().next().is_none()
    }
}

/// An IPv4 address in its IPv6-mapped form counts as the IPv4 address.
fn canonical(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(ipv6) => ipv6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        IpAddr::V4(_) => address,
    }
}

/// The network of a single address.
fn host_network(address: IpAddr) -> IpNet {
    IpNet::from(canonical(address))
}

/// A set of networks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkSet {
    networks: NetworkMap<()>,
}

impl NetworkSet {
    /// Adds a network.
    pub fn insert(&mut self, network: IpNet) {
        self.networks.insert(network, ());
    }

    /// Whether a network of the set contains the address.
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

/// A tenant's network that can't be added to a [`TenantNetworks`] table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantNetworkError {
    /// The network belongs to a tenant already.
    #[error("{network} is given to '{tenant}' already")]
    Duplicate {
        /// The network.
        network: IpNet,
        /// The tenant that has it.
        tenant: String,
    },
    /// A wider network makes it the same tenant's already.
    #[error("{network} lies in a network of '{tenant}' already: the rule changes nothing")]
    Redundant {
        /// The network.
        network: IpNet,
        /// The tenant.
        tenant: String,
    },
}

/// Tenants by network. The longest prefix wins.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantNetworks {
    tenants: NetworkMap<String>,
}

impl TenantNetworks {
    /// Adds a network. Networks are to be added from the widest to the narrowest, as redundant ones
    /// are found by what is in the table.
    ///
    /// # Errors
    /// The rule would have no effect.
    pub fn insert(&mut self, network: IpNet, tenant: &str) -> Result<(), TenantNetworkError> {
        if let Some(other) = self.tenants.get(network) {
            let tenant = other.clone();
            return Err(TenantNetworkError::Duplicate { network, tenant });
        }
        if self.tenants.longest_match(network).map(String::as_str) == Some(tenant) {
            let tenant = tenant.to_string();
            return Err(TenantNetworkError::Redundant { network, tenant });
        }
        self.tenants.insert(network, tenant.to_string());
        Ok(())
    }

    /// The tenant of an address.
    pub fn find(&self, address: IpAddr) -> Option<&str> {
        let network = host_network(address);
        self.tenants.longest_match(network).map(String::as_str)
    }

    /// Whether the table has no network.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

/// A network in the settings that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseNetworkError {
    /// The text is neither an address nor a network.
    #[error("'{text}' is no network, as in 10.1.0.0/16")]
    Invalid {
        /// The text.
        text: String,
    },
    /// Bits beyond the prefix are set, which hints at a wrong prefix length.
    #[error("'{text}' has bits past its prefix; is it {truncated}?")]
    HostBitsSet {
        /// The text.
        text: String,
        /// The network without these bits.
        truncated: IpNet,
    },
}

/// Parses networks and single addresses that are separated by commas.
///
/// # Errors
/// The first entry that is not a network.
pub fn parse_networks(text: &str) -> Result<Vec<IpNet>, ParseNetworkError> {
    text.split(',')
        .map(str::trim)
        .filter(|entry| !entry.is_empty())
        .map(parse_network)
        .collect()
}

fn parse_network(text: &str) -> Result<IpNet, ParseNetworkError> {
    if let Ok(address) = text.parse::<IpAddr>() {
        return Ok(IpNet::from(address));
    }
    let text = text.to_string();
    let Ok(network) = text.parse::<IpNet>() else {
        return Err(ParseNetworkError::Invalid { text });
    };
    let truncated = network.trunc();
    if network != truncated {
        return Err(ParseNetworkError::HostBitsSet { text, truncated });
    }
    Ok(network)
}

/// The client's own address: that of the connection, or where that is a trusted proxy's, the last
/// forwarded address that is not. An entry that can't be parsed ends the search at the proxy that
/// added it.
pub fn client_address(peer: IpAddr, forwarded_for: &[&str], proxies: &NetworkSet) -> IpAddr {
    let forwarded: Vec<&str> = forwarded_for
        .iter()
        .flat_map(|line| line.split(','))
        .map(str::trim)
        .collect();
    let mut client = peer;
    for address in forwarded.into_iter().rev() {
        if !proxies.contains(client) {
            break;
        }
        let Ok(address) = address.parse::<IpAddr>() else {
            break;
        };
        client = address;
    }
    canonical(client)
}
