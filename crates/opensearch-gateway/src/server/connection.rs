//! Serves one connection: the TLS handshake, HTTP requests and the shutdown.

use super::context::{Gateway, Peer};
use super::http;
use crate::tls::{self, ReloadableTls};
use aggregator_core::net::InternalClient;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time for which connections stay open after the listener stops accepting, so that a connection
/// from the backlog can still send its first request. During this time, every response closes its
/// connection.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(100);
/// Maximum duration of a TLS handshake.
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a connection's read buffer, which also limits the size of a request's head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Serves a connection until it is closed.
pub(super) async fn serve_connection(
    gateway: Rc<Gateway>,
    tls: Option<&ReloadableTls>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    // Without TCP_NODELAY the connection works, but with higher latency.
    let _ = stream.set_nodelay(true);
    let peer = Peer {
        address: peer.ip(),
        certificate_name: None,
    };
    match tls {
        None => serve_http(gateway, stream, peer).await,
        Some(tls) => serve_tls(gateway, tls, stream, peer).await,
    }
}

async fn serve_tls(gateway: Rc<Gateway>, tls: &ReloadableTls, stream: TcpStream, peer: Peer) {
    match timeout(TLS_HANDSHAKE_TIMEOUT, tls.acceptor().accept(stream)).await {
        Ok(Ok(stream)) => {
            let (_, session) = stream.get_ref();
            let certificate = session.peer_certificates().and_then(<[_]>::first);
            let peer = Peer {
                certificate_name: certificate.and_then(tls::common_name),
                ..peer
            };
            serve_http(gateway, stream, peer).await;
        }
        Ok(Err(error)) => {
            tracing::debug!(address = %peer.address, %error, "TLS handshake failed");
        }
        Err(_) => tracing::debug!(address = %peer.address, "TLS handshake timed out"),
    }
}

async fn serve_http<S>(gateway: Rc<Gateway>, stream: S, peer: Peer)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let service = service_fn(|request| {
        let (gateway, peer) = (gateway.clone(), peer.clone());
        async move { Ok::<_, Infallible>(http::handle_request(gateway, peer, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(gateway.settings.idle_timeout)
        .max_buf_size(MAX_BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = shutdown_delay_elapsed(&gateway.aggregator) => {
            // Completes the response in flight before the connection closes.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "HTTP connection failed");
    }
}

/// Completes [`SHUTDOWN_DELAY`] after the aggregator has stopped accepting connections.
async fn shutdown_delay_elapsed(aggregator: &InternalClient) {
    aggregator.listening_stopped().await;
    sleep(SHUTDOWN_DELAY).await;
}
