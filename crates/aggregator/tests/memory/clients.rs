//! Clients that send more than usual clients do, and the requests that they send.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Duration};

/// Time after which a test fails because the program hangs. Tests wait for events only.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two attempts to connect to a program that is starting.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Returns a request for a query with one part, with these header fields and this text.
pub fn query_request(name: &str, fields: &str, text: &str) -> String {
    let body = format!("{{\"shards\":[{{\"shard\":0,\"weight\":1.0}}],\"q\":\"{text}\"}}");
    format!(
        "POST /lookup HTTP/1.1\r\nX-Request-ID: {name}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Requests the counters, until the program answers.
pub async fn get_stats(address: SocketAddr) {
    let request = async {
        loop {
            if let Ok(response) = exchange(address, "GET /-/stats HTTP/1.0\r\n\r\n").await {
                if response.starts_with("HTTP/1.1 200 ") {
                    return;
                }
            }
            sleep(CONNECT_RETRY_DELAY).await;
        }
    };
    timeout(HANG_TIMEOUT, request)
        .await
        .expect("the program should answer in time");
}

/// Sends a request on a new connection, and returns everything that is received up to its end.
async fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response)
}

/// Clients that have sent all that they have to send, as far as the program has read it.
pub struct BadClients {
    connections: Vec<TcpStream>,
}

impl BadClients {
    /// Connects clients, each of which sends what `input` returns for its number. The clients send
    /// at the same time.
    pub async fn send(
        address: SocketAddr,
        clients: usize,
        input: impl Fn(usize) -> String,
    ) -> BadClients {
        let mut tasks = JoinSet::new();
        for client in 0..clients {
            let input = input(client);
            tasks.spawn(async move {
                let mut stream = TcpStream::connect(address).await.ok()?;
                // A connection that the program closes is no failure.
                let _ = timeout(HANG_TIMEOUT, stream.write_all(input.as_bytes())).await;
                Some(stream)
            });
        }
        let connections = tasks.join_all().await;
        BadClients {
            connections: connections.into_iter().flatten().collect(),
        }
    }

    /// Ends the input of all clients, and waits until the program has read it and has closed the
    /// connections.
    pub async fn end_and_drain(self) {
        let mut tasks = JoinSet::new();
        for mut stream in self.connections {
            tasks.spawn(async move {
                let _ = stream.shutdown().await;
                let mut sink = tokio::io::sink();
                let drain = tokio::io::copy(&mut stream, &mut sink);
                timeout(HANG_TIMEOUT, drain).await.is_ok()
            });
        }
        let ended = tasks.join_all().await;
        assert!(
            ended.into_iter().all(|ended| ended),
            "the program should close all connections in time"
        );
    }
}
