//! Gossip messages between aggregators, one datagram each. They may be lost: nothing waits for one.

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
    /// By number.
    peers: Vec<SocketAddr>,
    /// The address that reaches all of them.
    broadcast: Option<SocketAddr>,
}

impl PeerAddresses {
    /// The address of one aggregator, or of all; none if it is not configured.
    fn address(&self, to: Option<u32>) -> Option<SocketAddr> {
        match to {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.broadcast,
        }
    }

    /// The number of the aggregator at this address.
    fn number(&self, address: SocketAddr) -> Option<u32> {
        let number = self.peers.iter().position(|peer| *peer == address)?;
        Some(number as u32)
    }
}

impl GossipSocket {
    /// Opens the socket and starts to receive.
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

    /// Exchanges messages with the aggregators at these addresses from now on.
    pub(super) fn update_addresses(&mut self, shared: &Shared, addresses: &Addresses) {
        self.receiver.abort();
        *self = GossipSocket::start(shared, self.socket.clone(), addresses);
    }

    /// Sends a message to one aggregator, or to all.
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
        // An error here is caused by an earlier message to an aggregator that is down.
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
