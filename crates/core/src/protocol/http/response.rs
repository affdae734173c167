//! Responses and their encoding.

use crate::api::Nanos;
use bytes::BytesMut;

const NANOS_PER_MILLI: Nanos = 1_000_000;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A response with a JSON body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Status code, for example 200.
    pub status: u16,
    /// Time after which the client may retry, in nanoseconds.
    pub retry_after: Option<Nanos>,
    /// Method that is allowed on the requested path, for responses with status 405.
    pub allow: Option<&'static str>,
    /// Body, in JSON.
    pub body: Vec<u8>,
    /// Whether the connection closes after this response.
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
            // Rounded up to milliseconds, so that the client does not retry too early.
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
