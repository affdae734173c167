//! Tenants by network.

use super::network_map::{host_network, NetworkMap};
use ipnet::IpNet;
use std::net::IpAddr;

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
    /// A wider network already belongs to the same tenant.
    #[error("{network} lies in a network of '{tenant}' already: the rule changes nothing")]
    Redundant {
        /// The network.
        network: IpNet,
        /// The tenant.
        tenant: String,
    },
}

/// Tenants by network. An address belongs to the network with the longest prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantNetworks {
    tenants: NetworkMap<String>,
}

impl TenantNetworks {
    /// Adds a network. Networks have to be added from the widest to the narrowest: a redundant one
    /// is found only if the wider network is in the table.
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
