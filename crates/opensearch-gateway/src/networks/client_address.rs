//! The address of a client behind proxies.

use super::network_map::canonical;
use super::network_set::NetworkSet;
use std::net::IpAddr;

/// The address of the client behind trusted proxies.
///
/// It is the connection's address `peer`, unless that is a trusted proxy's. Then it is the last
/// address in `forwarded_for`, the lines of `X-Forwarded-For`, that is not a trusted proxy's. If an
/// entry can't be parsed, it is the address of the proxy that added the entry.
pub fn client_address(peer: IpAddr, forwarded_for: &[&str], proxies: &NetworkSet) -> IpAddr {
    let addresses = forwarded_for.iter().flat_map(|line| line.split(','));
    let forwarded: Vec<&str> = addresses.map(str::trim).collect();
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
