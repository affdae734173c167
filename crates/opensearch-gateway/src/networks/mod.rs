//! IP networks of trusted proxies and of tenants, without I/O.
//!
//! Networks are matched by longest prefix. For a client behind proxies, the client's address is the
//! last address in `X-Forwarded-For` that does not belong to a trusted proxy. The header is ignored
//! on connections from peers that are not trusted proxies.

mod client_address;
mod network_map;
mod network_set;
mod parse;
mod tenant_networks;

pub use client_address::client_address;
pub use network_set::NetworkSet;
pub use parse::{parse_networks, ParseNetworkError};
pub use tenant_networks::{TenantNetworkError, TenantNetworks};
