//! A discovery service that only accepts watches of the endpoint list.

use super::aggregator_process::HANG_TIMEOUT;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// The service, before it has answered anything.
pub struct Discovery {
    listener: TcpListener,
}

/// A watch that an aggregator has requested.
pub struct Watch {
    /// The connection, open as long as the aggregator watches.
    pub stream: TcpStream,
    /// The head of the request.
    pub request: String,
}

impl Discovery {
    /// Opens the service on a free port.
    pub async fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Discovery { listener }
    }

    /// Where the service listens.
    pub fn address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// Waits for the next watch.
    pub async fn accept_watch(&self) -> Watch {
        let (mut stream, _) = tokio::time::timeout(HANG_TIMEOUT, self.listener.accept())
            .await
            .expect("a watch")
            .unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.unwrap());
        }
        let request = String::from_utf8(request).unwrap();
        Watch { stream, request }
    }
}
