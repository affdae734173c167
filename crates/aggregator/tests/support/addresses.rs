//! Addresses for programs that are started by a test.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Returns an address for the program: a free port of an address that no other process of the tests
/// uses.
pub fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 120 + high % 100, middle, low.max(1));
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}
