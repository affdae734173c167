//! HTTP responses read from a raw TCP stream, so that the end of a connection is detected exactly.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// End of the head of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Error of a connection that ended before the response was complete.
pub struct ConnectionEnded;

impl From<io::Error> for ConnectionEnded {
    fn from(_: io::Error) -> ConnectionEnded {
        ConnectionEnded
    }
}

/// Head of a response, reduced to what clients use.
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Whether the response announces the end of the connection (`Connection: close`).
    pub closes_connection: bool,
    body_length: usize,
}

/// Reads and discards data until the connection ends.
pub async fn wait_for_end(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer).await, Ok(length) if length > 0) {}
}

/// Reads one response with its body.
///
/// # Errors
/// Returns an error if the connection ends before the response is complete.
pub async fn read_response(stream: &mut TcpStream) -> Result<ResponseHead, ConnectionEnded> {
    let mut buffer = Vec::new();
    loop {
        if let Some(head) = complete_response(&buffer) {
            return Ok(head);
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(ConnectionEnded);
        }
    }
}

/// Returns the head of the received response, or `None` until the body is complete.
fn complete_response(received: &[u8]) -> Option<ResponseHead> {
    let mut windows = received.windows(HEAD_END.len());
    let head_length = windows.position(|window| window == HEAD_END)?;
    let head = parse_head(&received[..head_length])?;
    let response_length = head_length + HEAD_END.len() + head.body_length;
    (received.len() >= response_length).then_some(head)
}

/// Parses the head of a response whose body has a `Content-Length`, as every response of the
/// aggregator does.
fn parse_head(head: &[u8]) -> Option<ResponseHead> {
    let head = std::str::from_utf8(head).ok()?.to_ascii_lowercase();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut body_length = 0;
    let mut closes_connection = false;
    for line in lines {
        let (name, value) = line.split_once(':')?;
        match name {
            "content-length" => body_length = value.trim().parse().ok()?,
            "connection" => closes_connection = value.trim() == "close",
            _ => {}
        }
    }
    Some(ResponseHead {
        status,
        body_length,
        closes_connection,
    })
}
