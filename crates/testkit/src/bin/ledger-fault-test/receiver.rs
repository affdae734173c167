//! Receiver of the ledger's documents, which can be restarted.

use aggregator_testkit::installation::{free_port, own_ip};
use aggregator_testkit::receiver::{DocumentReceiver, ReceivedDocuments};
use aggregator_testkit::sync::lock;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Receiver that keeps its address and its documents across restarts.
pub struct RestartableReceiver {
    /// Address at which the receiver listens.
    pub address: SocketAddr,
    documents: Arc<Mutex<ReceivedDocuments>>,
    server: Option<DocumentReceiver>,
}

impl RestartableReceiver {
    /// Starts a receiver on a free port.
    pub async fn start() -> io::Result<RestartableReceiver> {
        let mut receiver = RestartableReceiver {
            address: free_port(own_ip())?,
            documents: Arc::default(),
            server: None,
        };
        receiver.restart().await?;
        Ok(receiver)
    }

    /// Starts the receiver again at the same address.
    pub async fn restart(&mut self) -> io::Result<()> {
        let receiver = DocumentReceiver::start(self.address, self.documents.clone()).await?;
        self.server = Some(receiver);
        Ok(())
    }

    /// Stops the receiver and drops its connections.
    pub fn stop(&mut self) {
        self.server = None;
    }

    /// Returns a copy of the documents received so far.
    pub fn documents(&self) -> ReceivedDocuments {
        lock(&self.documents).clone()
    }
}
