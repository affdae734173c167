//! HTTP requests on one-off connections.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// `Host` header of all requests.
pub const HOST: &str = "mixer";

const GET_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Sends a GET request on a new connection. Returns `None` if no complete response arrives within
/// 2 s.
pub async fn get(address: SocketAddr, path: &str) -> Option<FullResponse> {
    let request = Request::get(path)
        .header("Host", HOST)
        .header("Connection", "close")
        .body(Full::default())
        .ok()?;
    exchange(address, request, GET_TIMEOUT).await
}

/// Sends a request on a new connection. Returns `None` if no complete response arrives within
/// `limit`.
pub async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<FullResponse> {
    timeout(limit, exchange_without_limit(address, request))
        .await
        .ok()?
}

async fn exchange_without_limit(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<FullResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(connection);
    let (parts, body) = sender.send_request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    task.abort();
    Some(FullResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}
