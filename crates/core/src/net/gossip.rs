//! Gossip messages between aggregators, one per datagram. A message may be lost, and nothing waits
//! for one.

use super::buffer_pool::BUFFER_BYTES;
use super::shared::Shared;
use crate::config::Addresses;
use crate::engine::Input;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

/// The socket for gossip messages, and the task that receives them.
pub(super) struct GossipSocket {
    socket: Rc<UdpSocket>,
    peers: PeerAddresses,
    receiver: AbortHandle,
}

/// The addresses of the other aggregators.
#[derive(Clone, Debug)]
struct PeerAddresses {
    /// Indexed by the number of the aggregator.
    peers: Vec<SocketAddr>,
    /// Address that reaches all other aggregators.
    broadcast: Option<SocketAddr>,
}

impl PeerAddresses {
    /// Returns the address of one aggregator, or of all if `to` is `None`. Returns `None` if the
    /// address is not configured.
    fn address(&self, to: Option<u32>) -> Option<SocketAddr> {
        match to {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.broadcast,
        }
    }

    /// Returns the number of the aggregator at this address, or `None` if the address is unknown.
    fn number(&self, address: SocketAddr) -> Option<u32> {
        let number = self.peers.iter().position(|peer| *peer == address)?;
        Some(number as u32)
    }
}

impl GossipSocket {
    /// Binds the socket and spawns the task that receives messages.
    pub(super) async fn bind(
        shared: &Shared,
        listen: SocketAddr,
        addresses: &Addresses,
    ) -> io::Result<GossipSocket> {
        let socket = Rc::new(UdpSocket::bind(listen).await?);
        Ok(GossipSocket::start(shared, socket, addresses))
    }

    fn start(shared: &Shared, socket: Rc<UdpSocket>, addresses: &Addresses) -> GossipSocket {
        let peers = PeerAddresses {
            peers: addresses.peers.clone(),
            broadcast: addresses.gossip_broadcast,
        };
        let receiver =
            tokio::task::spawn_local(receive(shared.clone(), socket.clone(), peers.clone()));
        GossipSocket {
            socket,
            peers,
            receiver: receiver.abort_handle(),
        }
    }

    /// Replaces the addresses of the other aggregators.
    pub(super) fn update_addresses(&mut self, shared: &Shared, addresses: &Addresses) {
        self.receiver.abort();
        *self = GossipSocket::start(shared, self.socket.clone(), addresses);
    }

    /// Sends a message to one aggregator, or to all if `to` is `None`.
    pub(super) fn send(&self, to: Option<u32>, bytes: &[u8]) {
        let Some(address) = self.peers.address(to) else {
            return;
        };
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            tracing::debug!("gossip message not sent: {error}");
        }
    }
}

async fn receive(shared: Shared, socket: Rc<UdpSocket>, peers: PeerAddresses) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // An error here stems from an earlier message to an aggregator that is down.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(from) = peers.number(sender) {
            let input = Input::GossipReceived {
                from,
                bytes: buffer[..length].to_vec(),
            };
            let _ = shared.inputs.send(input).await;
        }
    }
}
