//! The discovery side of watches on the endpoint list, as controlled by a test.

use super::client::read_head;
use super::HANG_TIMEOUT;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Returns an item of the endpoint list: a leaf server that holds every shard.
pub fn endpoint(leaf: SocketAddr, status: &str) -> serde_json::Value {
    serde_json::json!({"name": "s-1", "address": leaf, "group": 0, "status": status})
}

/// Returns a snapshot of the endpoint list.
pub fn snapshot(index: u64, endpoints: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"index": index, "snapshot": true, "endpoints": endpoints})
}

/// The discovery agent's side of a watch.
pub struct WatchConnection {
    pub stream: TcpStream,
    /// Head of the request.
    pub request: String,
}

impl WatchConnection {
    /// Accepts the next watch and reads its request.
    pub async fn accept(discovery: &TcpListener) -> WatchConnection {
        let (mut stream, _) = timeout(HANG_TIMEOUT, discovery.accept())
            .await
            .expect("a watch should be started in time")
            .unwrap();
        let request = read_head(&mut stream).await;
        WatchConnection { stream, request }
    }

    /// Sends the head of the response.
    pub async fn send_head(&mut self) {
        self.stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .unwrap();
    }

    /// Sends one chunk of the response body.
    pub async fn send_chunk(&mut self, text: &str) {
        self.stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await
            .unwrap();
    }
}
