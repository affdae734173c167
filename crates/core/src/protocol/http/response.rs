//! Responses, and how they are encoded.

use crate::api::Nanos;
use bytes::BytesMut;

const NANOS_PER_MILLI: Nanos = 1_000_000;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A response with a JSON body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// When the client may retry.
    pub retry_after: Option<Nanos>,
    /// The method that is allowed on this path.
    pub allow: Option<&'static str>,
    /// The body.
    pub body: Vec<u8>,
    /// The connection closes after this response.
    pub close: bool,
}

impl Response {
    /// Appends the encoded response to `dst`.
    pub(super) fn encode(&self, dst: &mut BytesMut) {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        if let Some(retry_after) = self.retry_after {
            // Rounded up to milliseconds: the client must not retry before its time.
            let millis = retry_after.div_ceil(NANOS_PER_MILLI);
            let seconds = millis as f64 / MILLIS_PER_SECOND;
            head += &format!("Retry-After: {seconds:.3}\r\n");
        }
        if let Some(allow) = self.allow {
            head += &format!("Allow: {allow}\r\n");
        }
        if self.close {
            head += "Connection: close\r\n";
        }
        head += "\r\n";
        dst.extend_from_slice(head.as_bytes());
        dst.extend_from_slice(&self.body);
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
