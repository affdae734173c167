//! Allocation of loopback addresses and ports.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Processes take their addresses from the networks 127.20.0.0/16 to 127.119.0.0/16.
const FIRST_NETWORK: u8 = 20;
const NETWORK_COUNT: u8 = 100;

/// Returns the loopback address of this process, derived from its process id.
///
/// Different processes have different addresses, so that they do not take ports from each other.
/// The only exception is process ids that differ in the lowest byte only, with the values 0 and 1.
pub fn own_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        FIRST_NETWORK + high % NETWORK_COUNT,
        middle,
        low.max(1),
    ))
}

/// Returns an address of `ip` with a port that is currently free.
///
/// # Errors
/// Returns an error if no port is free.
pub fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}
