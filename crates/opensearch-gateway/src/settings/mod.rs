//! The gateway's settings: the listener, the indices, and how requests are attributed to tenants.

mod index;
mod schema;
mod section;

pub use index::{IndexSettings, ShardWeight};
pub use schema::{GATEWAY_SECTION, INDEX_SECTION, NETWORK_SECTION};

use crate::networks::{parse_networks, NetworkSet, TenantNetworks};
use crate::tls::TlsFiles;
use ini_config::{Problems, Schema, Settings};
use ipnet::IpNet;
use schema::{
    DEFAULT_CLUSTER_NAME, DEFAULT_TENANT_HEADER, TENANT_BY_CERTIFICATE,
    TENANT_BY_HEADER_OR_NETWORK, TENANT_BY_NETWORK,
};
use section::SectionReader;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What determines the tenant of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantSource {
    /// A header.
    Header,
    /// The network of the client's address.
    Network,
    /// The header if there is one, else the network.
    HeaderOrNetwork,
    /// The common name of the client's certificate.
    Certificate,
}

impl TenantSource {
    fn uses_networks(self) -> bool {
        matches!(self, TenantSource::Network | TenantSource::HeaderOrNetwork)
    }
}

/// The settings of a gateway that is on.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum length of a request body, compressed or not.
    pub max_body_bytes: usize,
    /// Maximum length of all shards' answers to one search together.
    pub max_answer_bytes: usize,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
    /// The cluster name that clients are given.
    pub cluster_name: String,
    /// The header that names the tenant, in lower case.
    pub tenant_header: String,
    /// The tenant of requests that none can be determined for.
    pub default_tenant: Option<String>,
    /// What determines the tenant.
    pub tenant_source: TenantSource,
    /// The TLS files; plain HTTP without them.
    pub tls: Option<TlsFiles>,
    /// Networks of proxies whose `X-Forwarded-For` is trusted.
    pub trusted_proxies: NetworkSet,
    /// Tenants by network.
    pub tenant_networks: TenantNetworks,
    /// Indices by their names; at least one.
    pub indices: BTreeMap<String, IndexSettings>,
}

impl GatewaySettings {
    /// Reads the settings; none if the gateway is off.
    ///
    /// # Errors
    /// A value is missing, can't be used, or contradicts another one.
    pub fn read(settings: &Settings, schema: &Schema) -> Result<Option<Self>, Problems> {
        let section = SectionReader::new(settings, schema, &GATEWAY_SECTION, "");
        let values = section.values;
        let Some(listen) = values.address("listen") else {
            return Ok(None);
        };
        let indices = index::read_indices(settings, schema)?;
        if indices.is_empty() {
            return Err(section.error("listen", "there is no [index NAME] to search"));
        }
        let tenant_source = read_tenant_source(&section);
        let tls = read_tls_files(&section)?;
        let has_client_ca = tls.as_ref().is_some_and(|tls| tls.client_ca.is_some());
        if tenant_source == TenantSource::Certificate && !has_client_ca {
            let reason = "goes by certificates, and there is no 'client-ca'";
            return Err(section.error("tenant-by", reason));
        }
        let trusted_proxies = read_trusted_proxies(&section)?;
        let tenant_networks = read_tenant_networks(settings, schema, &section, tenant_source)?;
        let max_connections = section.required("connections", values.count("connections"))?;
        let max_body_bytes = section.required("body", values.bytes("body"))?;
        let max_answer_bytes = section.required("answer", values.bytes("answer"))?;
        // Set to nothing, both texts have their defaults as well.
        let cluster_name = values.text("cluster").unwrap_or(DEFAULT_CLUSTER_NAME);
        let tenant_header = values.text("tenant-header");
        Ok(Some(GatewaySettings {
            listen,
            max_connections: max_connections as usize,
            max_body_bytes: max_body_bytes as usize,
            max_answer_bytes: max_answer_bytes as usize,
            idle_timeout: section.required("idle", values.time("idle"))?,
            cluster_name: cluster_name.to_string(),
            tenant_header: tenant_header
                .unwrap_or(DEFAULT_TENANT_HEADER)
                .to_ascii_lowercase(),
            default_tenant: values.text("tenant").map(str::to_string),
            tenant_source,
            tls,
            trusted_proxies,
            tenant_networks,
            indices,
        }))
    }
}

fn read_tenant_source(section: &SectionReader) -> TenantSource {
    match section.values.text("tenant-by") {
        Some(TENANT_BY_NETWORK) => TenantSource::Network,
        Some(TENANT_BY_HEADER_OR_NETWORK) => TenantSource::HeaderOrNetwork,
        Some(TENANT_BY_CERTIFICATE) => TenantSource::Certificate,
        _ => TenantSource::Header,
    }
}

fn read_tls_files(section: &SectionReader) -> Result<Option<TlsFiles>, Problems> {
    let certificate = section.path("certificate");
    let key = section.path("key");
    let client_ca = section.path("client-ca");
    match (certificate, key, client_ca) {
        (Some(certificate), Some(key), client_ca) => Ok(Some(TlsFiles {
            certificate,
            key,
            client_ca,
        })),
        (None, None, None) => Ok(None),
        (Some(_), None, _) => Err(section.error("certificate", "needs 'key'")),
        (None, Some(_), _) => Err(section.error("key", "needs 'certificate'")),
        (None, None, Some(_)) => Err(section.error("client-ca", "needs 'certificate' and 'key'")),
    }
}

fn read_trusted_proxies(section: &SectionReader) -> Result<NetworkSet, Problems> {
    let proxies = section.values.text("proxies").unwrap_or_default();
    let proxies = parse_networks(proxies).map_err(|error| section.error("proxies", error))?;
    Ok(proxies.into_iter().collect())
}

/// A network of a tenant, and the section that it was read from.
struct TenantNetworkRule<'a> {
    network: IpNet,
    tenant: &'a str,
    section: SectionReader<'a>,
}

fn read_tenant_networks(
    settings: &Settings,
    schema: &Schema,
    gateway_section: &SectionReader,
    tenant_source: TenantSource,
) -> Result<TenantNetworks, Problems> {
    let mut rules = Vec::new();
    for name in settings.names(NETWORK_SECTION.name) {
        let section = SectionReader::new(settings, schema, &NETWORK_SECTION, name);
        if !tenant_source.uses_networks() {
            let reason = "is never used, as [opensearch] tenant-by does not go by networks";
            return Err(section.error("tenant", reason));
        }
        let tenant = section.required_text("tenant")?;
        let prefixes = section.required_text("prefixes")?;
        let networks =
            parse_networks(prefixes).map_err(|error| section.error("prefixes", error))?;
        rules.extend(networks.into_iter().map(|network| TenantNetworkRule {
            network,
            tenant,
            section,
        }));
    }
    // From the widest to the narrowest, so that the order in the file does not matter.
    rules.sort_by_key(|rule| rule.network.prefix_len());
    let mut tenant_networks = TenantNetworks::default();
    for rule in rules {
        tenant_networks
            .insert(rule.network, rule.tenant)
            .map_err(|error| rule.section.error("prefixes", error))?;
    }
    if tenant_networks.is_empty() && tenant_source.uses_networks() {
        let reason = "goes by networks, and there is no [network NAME]";
        return Err(gateway_section.error("tenant-by", reason));
    }
    Ok(tenant_networks)
}
