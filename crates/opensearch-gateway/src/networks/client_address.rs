//! Determines the address of a client behind proxies.

use super::network_map::canonical;
use super::network_set::NetworkSet;
use std::net::IpAddr;

/// Returns the address of the client of a request.
///
/// `peer` is the remote address of the connection, and `forwarded_for` has the values of all
/// `X-Forwarded-For` headers in their order. If `peer` is not a trusted proxy, the result is
/// `peer`. Otherwise, the result is the last address in `forwarded_for` that does not belong to a
/// trusted proxy, or the first address if all of them belong to trusted proxies. An entry that is
/// not an address ends the search; the result is then the address of the proxy that added this
/// entry. An IPv4-mapped IPv6 address is returned as an IPv4 address.
pub fn client_address(peer: IpAddr, forwarded_for: &[&str], proxies: &NetworkSet) -> IpAddr {
    let addresses = forwarded_for.iter().flat_map(|line| line.split(','));
    let forwarded_addresses: Vec<&str> = addresses.map(str::trim).collect();
    let mut client = peer;
    for address in forwarded_addresses.into_iter().rev() {
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
