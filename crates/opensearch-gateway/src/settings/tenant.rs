//! Reads the settings that determine the tenant: `tenant-by` and the sections `[network NAME]`.

use super::schema::{
    NETWORK_SECTION, TENANT_BY_CERTIFICATE, TENANT_BY_HEADER_OR_NETWORK, TENANT_BY_NETWORK,
};
use super::section::required_text;
use crate::networks::{parse_networks, TenantNetworks};
use ini_config::{Problems, Schema, SectionValues, Settings};
use ipnet::IpNet;

/// Property of a request that determines its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantSource {
    /// The tenant header.
    Header,
    /// The network that contains the client's address.
    Network,
    /// The tenant header if the request has one, otherwise the network.
    HeaderOrNetwork,
    /// The common name in the client's certificate.
    Certificate,
}

impl TenantSource {
    fn uses_networks(self) -> bool {
        matches!(self, TenantSource::Network | TenantSource::HeaderOrNetwork)
    }
}

/// Reads the value of `tenant-by`.
pub(super) fn read_tenant_source(section: &SectionValues) -> TenantSource {
    match section.text("tenant-by") {
        Some(TENANT_BY_NETWORK) => TenantSource::Network,
        Some(TENANT_BY_HEADER_OR_NETWORK) => TenantSource::HeaderOrNetwork,
        Some(TENANT_BY_CERTIFICATE) => TenantSource::Certificate,
        _ => TenantSource::Header,
    }
}

/// A network of a tenant, with the section that defines it.
struct TenantNetworkRule<'a> {
    network: IpNet,
    tenant: &'a str,
    section: SectionValues<'a>,
}

/// Reads the sections `[network NAME]`.
///
/// Returns an error if the tenant source does not use networks and such a section exists, or if the
/// tenant source uses networks and no section defines one.
pub(super) fn read_tenant_networks(
    settings: &Settings,
    schema: &Schema,
    gateway_section: &SectionValues,
    tenant_source: TenantSource,
) -> Result<TenantNetworks, Problems> {
    let mut rules = Vec::new();
    for name in settings.section_names(NETWORK_SECTION.name) {
        let section = settings.named_section(schema, NETWORK_SECTION.name, name);
        if !tenant_source.uses_networks() {
            let reason = "has no effect: [opensearch] tenant-by does not select tenants by network";
            return Err(section.problem("tenant", reason));
        }
        let tenant = required_text(&section, "tenant")?;
        let prefixes = required_text(&section, "prefixes")?;
        let networks =
            parse_networks(prefixes).map_err(|error| section.problem("prefixes", error))?;
        rules.extend(networks.into_iter().map(|network| TenantNetworkRule {
            network,
            tenant,
            section,
        }));
    }
    // `TenantNetworks` requires this order; the order in the file does not matter.
    rules.sort_by_key(|rule| rule.network.prefix_len());
    let mut tenant_networks = TenantNetworks::default();
    for rule in rules {
        tenant_networks
            .insert(rule.network, rule.tenant)
            .map_err(|error| rule.section.problem("prefixes", error))?;
    }
    if tenant_networks.is_empty() && tenant_source.uses_networks() {
        let reason = "selects tenants by network, but no [network NAME] section defines a network";
        return Err(gateway_section.problem("tenant-by", reason));
    }
    Ok(tenant_networks)
}
