//! IP networks: trusted proxies, and tenants by the network that a request comes from. No I/O.
//!
//! Networks are matched by their longest prefix. Where a client connects through proxies, its
//! address is the last one in `X-Forwarded-For` that is not a trusted proxy's; the header is
//! ignored on connections that do not come from a trusted proxy.

mod client_address;
mod network_map;
mod network_set;
mod parse;
mod tenant_networks;

pub use client_address::client_address;
pub use network_set::NetworkSet;
pub use parse::{parse_networks, ParseNetworkError};
pub use tenant_networks::{TenantNetworkError, TenantNetworks};
