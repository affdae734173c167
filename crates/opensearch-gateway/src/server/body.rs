//! Reads request bodies.

use super::context::header_text;
use crate::compression;
use crate::error::GatewayError;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_ENCODING};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time to receive a body, measured from the end of the request's head.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Receives a complete body and decompresses it if necessary.
///
/// `max_bytes` limits both the received body and the decompressed body.
pub(super) async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, GatewayError> {
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Err(GatewayError::TruncatedOrTooLongBody { max_bytes }),
        Err(_) => return Err(GatewayError::BodyTimeout),
    };
    match header_text(headers, CONTENT_ENCODING.as_str()) {
        None | Some("identity") => Ok(body),
        Some("gzip") => {
            let decompressed = compression::decompress(&body, max_bytes)?;
            Ok(Bytes::from(decompressed))
        }
        Some(other) => Err(GatewayError::UnsupportedEncoding {
            encoding: other.to_string(),
        }),
    }
}
