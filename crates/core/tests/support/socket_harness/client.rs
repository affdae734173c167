//! The client side of connections to the aggregator, as controlled by a test.

use super::leaf_server::LeafServerConnection;
use super::{SocketHarness, HANG_TIMEOUT};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Opens a connection on which small writes are sent at once (`TCP_NODELAY`).
pub async fn connect_client(aggregator: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(aggregator).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends a query with this name and one part.
pub async fn send_query(client: &mut TcpStream, name: &str) {
    let request = query_request(name, "");
    client.write_all(request.as_bytes()).await.unwrap();
}

/// Connects a client and serves one query with this name. Returns the client, which is idle, and
/// the connection to the leaf server, which stays open.
pub async fn served_client(
    harness: &SocketHarness,
    name: &str,
) -> (TcpStream, LeafServerConnection) {
    let mut client = connect_client(harness.aggregator).await;
    send_query(&mut client, name).await;
    let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
    let call = leaf.next_call().await;
    leaf.send_result(&call.id).await;
    let response = read_response(&mut client).await;
    assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.body.contains(&format!("{name}.3")), "{response:?}");
    (client, leaf)
}

/// Expects that the aggregator has closed a connection without a reset, and that everything it sent
/// has been read.
pub async fn expect_clean_close(client: &mut TcpStream) {
    let end = timeout(HANG_TIMEOUT, client.read(&mut [0])).await;
    let end = end
        .expect("the connection should be closed in time")
        .map_err(|error| error.kind());
    assert_eq!(end, Ok(0));
    assert!(
        client.take_error().unwrap().is_none(),
        "expected no reset of the connection"
    );
}

/// A response of the aggregator to a client.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status line and the header fields.
    pub head: String,
    pub body: String,
}

/// Reads the head of a request or response, including the empty line that ends the head.
pub(super) async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(
            timeout(HANG_TIMEOUT, stream.read_u8())
                .await
                .expect("the head should arrive in time")
                .expect("the head should be complete"),
        );
    }
    String::from_utf8(head).unwrap()
}

/// Reads one response.
pub async fn read_response(stream: &mut TcpStream) -> HttpResponse {
    let head = read_head(stream).await;
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .unwrap()
        .split('\r')
        .next()
        .unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    let body = String::from_utf8(body).unwrap();
    HttpResponse { head, body }
}

/// Reads one response and returns its status line and header fields.
pub async fn read_response_head(stream: &mut TcpStream) -> String {
    read_response(stream).await.head
}

/// Returns the request for a query with one part. Answers of its class are complete only if they
/// cover all parts.
pub fn query_request(name: &str, headers: &str) -> String {
    let body = "{\"shards\":[{\"shard\":3,\"weight\":1.0}],\"q\":\"c41e\"}";
    let length = body.len();
    format!("POST /lookup HTTP/1.1\r\nX-Request-ID: {name}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
