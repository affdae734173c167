//! Maps IP networks to tenants.

use super::network_map::{host_network, NetworkMap};
use ipnet::IpNet;
use std::net::IpAddr;

/// Error from adding a network to [`TenantNetworks`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantNetworkError {
    /// The network is already assigned to the same or another tenant.
    #[error("{network} is already assigned to tenant '{tenant}'")]
    Duplicate {
        /// Network that could not be added.
        network: IpNet,
        /// Tenant to which the network is already assigned.
        tenant: String,
    },
    /// The narrowest wider network is already assigned to the same tenant.
    #[error(
        "{network} is already covered by a wider network of tenant '{tenant}'; \
         this entry has no effect"
    )]
    Redundant {
        /// Network that could not be added.
        network: IpNet,
        /// Tenant to which the wider network is assigned.
        tenant: String,
    },
}

/// A map from networks to tenants. The network with the longest prefix determines the tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantNetworks {
    tenants: NetworkMap<String>,
}

impl TenantNetworks {
    /// Assigns a network to a tenant.
    ///
    /// Networks must be added in order of increasing prefix length, because a redundant network is
    /// detected only if the wider networks have been added before.
    ///
    /// # Errors
    /// Returns an error if the network is already assigned, or if the assignment has no effect.
    pub fn insert(&mut self, network: IpNet, tenant: &str) -> Result<(), TenantNetworkError> {
        if let Some(assigned_tenant) = self.tenants.get(network) {
            let tenant = assigned_tenant.clone();
            return Err(TenantNetworkError::Duplicate { network, tenant });
        }
        if self.tenants.longest_match(network).map(String::as_str) == Some(tenant) {
            let tenant = tenant.to_string();
            return Err(TenantNetworkError::Redundant { network, tenant });
        }
        self.tenants.insert(network, tenant.to_string());
        Ok(())
    }

    /// Returns the tenant of an address, or `None` if no network contains the address.
    pub fn find(&self, address: IpAddr) -> Option<&str> {
        let network = host_network(address);
        self.tenants.longest_match(network).map(String::as_str)
    }

    /// Returns whether no network has been added.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
