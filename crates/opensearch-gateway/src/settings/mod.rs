//! Settings of the gateway: the listener, the indices, and the attribution of requests to tenants.

mod index;
mod schema;
mod section;
mod tenant;

pub use index::{IndexSettings, ShardWeight};
pub use schema::{GATEWAY_SECTION, INDEX_SECTION, NETWORK_SECTION};
pub use tenant::TenantSource;

use crate::networks::{parse_networks, NetworkSet, TenantNetworks};
use crate::tls::TlsFiles;
use ini_config::{Problems, Schema, SectionValues, Settings};
use schema::{DEFAULT_CLUSTER_NAME, DEFAULT_TENANT_HEADER};
use section::{path, required};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tenant::{read_tenant_networks, read_tenant_source};

/// Settings of an enabled gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum length of a request body in bytes, both before and after decompression.
    pub max_body_bytes: usize,
    /// Maximum total length of the shards' answers to one search, in bytes.
    pub max_answer_bytes: usize,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Cluster name that is reported to clients.
    pub cluster_name: String,
    /// Name of the header that contains the tenant, in lower case.
    pub tenant_header: String,
    /// Tenant of requests whose tenant cannot be determined. If `None`, such requests are rejected
    /// on a platform with tenants.
    pub default_tenant: Option<String>,
    /// Property of a request that determines its tenant.
    pub tenant_source: TenantSource,
    /// Certificate and key files; `None` serves plain HTTP.
    pub tls: Option<TlsFiles>,
    /// Networks of proxies whose `X-Forwarded-For` is trusted.
    pub trusted_proxies: NetworkSet,
    /// Tenants by network; empty if the tenant source does not use networks.
    pub tenant_networks: TenantNetworks,
    /// Settings of the indices by name; contains at least one index.
    pub indices: BTreeMap<String, IndexSettings>,
}

impl GatewaySettings {
    /// Reads the settings. Returns `None` if the gateway is disabled.
    ///
    /// # Errors
    /// Returns an error if a value is missing, invalid, or contradicts another value.
    pub fn read(settings: &Settings, schema: &Schema) -> Result<Option<Self>, Problems> {
        let section = settings.section(schema, GATEWAY_SECTION.name);
        let Some(listen) = section.address("listen") else {
            return Ok(None);
        };
        let indices = index::read_indices(settings, schema)?;
        if indices.is_empty() {
            return Err(section.problem("listen", "requires at least one [index NAME] section"));
        }
        let tenant_source = read_tenant_source(&section);
        let tls = read_tls_files(&section)?;
        check_client_ca(&section, tenant_source, tls.as_ref())?;
        let trusted_proxies = read_trusted_proxies(&section)?;
        let tenant_networks = read_tenant_networks(settings, schema, &section, tenant_source)?;
        let max_connections = required(&section, "connections", section.count("connections"))?;
        let max_body_bytes = required(&section, "body", section.bytes("body"))?;
        let max_answer_bytes = required(&section, "answer", section.bytes("answer"))?;
        // `text` returns `None` for a key that is set to an empty text, even if it has a default.
        let cluster_name = section.text("cluster").unwrap_or(DEFAULT_CLUSTER_NAME);
        let tenant_header = section.text("tenant-header");
        Ok(Some(GatewaySettings {
            listen,
            max_connections: max_connections as usize,
            max_body_bytes: max_body_bytes as usize,
            max_answer_bytes: max_answer_bytes as usize,
            idle_timeout: required(&section, "idle", section.time("idle"))?,
            cluster_name: cluster_name.to_string(),
            tenant_header: tenant_header
                .unwrap_or(DEFAULT_TENANT_HEADER)
                .to_ascii_lowercase(),
            default_tenant: section.text("tenant").map(str::to_string),
            tenant_source,
            tls,
            trusted_proxies,
            tenant_networks,
            indices,
        }))
    }
}

fn read_tls_files(section: &SectionValues) -> Result<Option<TlsFiles>, Problems> {
    let certificate = path(section, "certificate");
    let key = path(section, "key");
    let client_ca = path(section, "client-ca");
    match (certificate, key, client_ca) {
        (Some(certificate), Some(key), client_ca) => Ok(Some(TlsFiles {
            certificate,
            key,
            client_ca,
        })),
        (None, None, None) => Ok(None),
        (Some(_), None, _) => Err(section.problem("certificate", "requires 'key' to be set")),
        (None, Some(_), _) => Err(section.problem("key", "requires 'certificate' to be set")),
        (None, None, Some(_)) => {
            Err(section.problem("client-ca", "requires 'certificate' and 'key' to be set"))
        }
    }
}

/// Checks that client certificates are verified if they determine the tenant.
fn check_client_ca(
    section: &SectionValues,
    tenant_source: TenantSource,
    tls: Option<&TlsFiles>,
) -> Result<(), Problems> {
    let has_client_ca = tls.is_some_and(|tls| tls.client_ca.is_some());
    if tenant_source == TenantSource::Certificate && !has_client_ca {
        let reason = "the value 'certificate' requires 'client-ca' to be set";
        return Err(section.problem("tenant-by", reason));
    }
    Ok(())
}

fn read_trusted_proxies(section: &SectionValues) -> Result<NetworkSet, Problems> {
    let proxies = section.text("proxies").unwrap_or_default();
    let proxies = parse_networks(proxies).map_err(|error| section.problem("proxies", error))?;
    Ok(proxies.into_iter().collect())
}
