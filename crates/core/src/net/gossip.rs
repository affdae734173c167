//! Gossip messages between aggregators, one datagram each. They may be lost: nothing waits for one.

use super::buffer_pool::BUFFER_BYTES;
use super::shared::Shared;
use super::Addresses;
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

/// The addresses of the other aggregators, by number, and one for all.
#[derive(Clone, Debug)]
struct PeerAddresses {
    peers: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
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
        let address = match to {
            Some(peer) => self.peers.peers.get(peer as usize).copied(),
            None => self.peers.broadcast,
        };
        let Some(address) = address else {
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
        // An error here is about an earlier message, to an aggregator that is down.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(from) = peers.peers.iter().position(|peer| *peer == sender) {
            let input = Input::GossipReceived {
                from: from as u32,
                bytes: buffer[..length].to_vec(),
            };
            let _ = shared.inputs.send(input).await;
        }
    }
}
