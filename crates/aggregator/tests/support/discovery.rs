//! A discovery agent that accepts watches on the endpoint list and does not answer them.

use super::aggregator_process::HANG_TIMEOUT;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// A discovery agent that does not answer.
pub struct Discovery {
    listener: TcpListener,
}

/// A watch that an aggregator has requested.
pub struct Watch {
    /// Connection of the watch, which is open until the aggregator ends the watch.
    pub stream: TcpStream,
    /// Head of the request.
    pub request: String,
}

impl Discovery {
    /// Starts the discovery agent on a free port.
    pub async fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Discovery { listener }
    }

    /// Returns the address of the discovery agent, as `host:port`.
    pub fn address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// Waits for the next watch.
    pub async fn accept_watch(&self) -> Watch {
        let (mut stream, _) = tokio::time::timeout(HANG_TIMEOUT, self.listener.accept())
            .await
            .expect("a watch should be started in time")
            .unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.unwrap());
        }
        let request = String::from_utf8(request).unwrap();
        Watch { stream, request }
    }
}
