//! Loopback addresses and ports.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The first of the 100 networks 127.x.0.0/16 that processes take their addresses from.
const FIRST_NETWORK: u8 = 20;
const NETWORKS: u8 = 100;

/// The loopback address of this process. No other installation uses it, so a port that was found
/// free stays free.
pub fn own_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        FIRST_NETWORK + high % NETWORKS,
        middle,
        low.max(1),
    ))
}

/// A port that is free now.
///
/// # Errors
/// No port is free.
pub fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}
