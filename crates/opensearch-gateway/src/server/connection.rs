//! Accepting and serving connections.

use super::context::{Gateway, Peer};
use super::http;
use crate::settings::GatewaySettings;
use crate::tls::{self, ReloadableTls};
use aggregator_core::net::{pause_after_failed_accept, Backlog, InternalClient};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// How long connections stay open after listening has stopped: the first request follows a new
/// connection at once. Each response closes its connection by then.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum duration of a TLS handshake.
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a connection's read buffer, and so of a request's head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Serves on `listener` until the aggregator stops. Has to be called in the aggregator's own
/// `LocalSet`.
pub fn start(
    settings: GatewaySettings,
    tls: Option<Rc<ReloadableTls>>,
    listener: TcpListener,
    aggregator: InternalClient,
) {
    let gateway = Rc::new(Gateway::new(settings, aggregator));
    tokio::task::spawn_local(accept_connections(gateway, tls, listener));
}

/// Accepts connections, as many at once as the settings allow; more wait unaccepted. Those that
/// wait when the aggregator stops are served as well: a listener that closes would reset them.
async fn accept_connections(
    gateway: Rc<Gateway>,
    tls: Option<Rc<ReloadableTls>>,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(gateway.settings.max_connections));
    loop {
        let (permit, (stream, peer)) = tokio::select! {
            accepted = accept_next(&permits, &listener) => accepted,
            () = gateway.aggregator.stopped() => break,
        };
        spawn_connection(&gateway, &tls, stream, peer, permit);
    }
    let mut backlog = Backlog::new(listener);
    while let Some((stream, peer)) = backlog.accept().await {
        spawn_connection(&gateway, &tls, stream, peer, None);
    }
}

/// Accepts a connection once the settings allow one more.
async fn accept_next(
    permits: &Arc<Semaphore>,
    listener: &TcpListener,
) -> (Option<OwnedSemaphorePermit>, (TcpStream, SocketAddr)) {
    // The semaphore is never closed, so there always is a permit in the end.
    let permit = permits.clone().acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok(accepted) => return (permit, accepted),
            Err(error) => pause_after_failed_accept(&error).await,
        }
    }
}

/// Serves a connection, and holds its permit until it has ended.
fn spawn_connection(
    gateway: &Rc<Gateway>,
    tls: &Option<Rc<ReloadableTls>>,
    stream: TcpStream,
    peer: SocketAddr,
    permit: Option<OwnedSemaphorePermit>,
) {
    let gateway = gateway.clone();
    let tls = tls.clone();
    tokio::task::spawn_local(async move {
        serve_tcp(gateway, tls.as_deref(), stream, peer).await;
        drop(permit);
    });
}

async fn serve_tcp(
    gateway: Rc<Gateway>,
    tls: Option<&ReloadableTls>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    // Without it the connection is slower, and no less correct.
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

/// Returns once a connection is to be closed, as the aggregator stops.
async fn drain(aggregator: &InternalClient) {
    aggregator.stopped().await;
    sleep(DRAIN_TIMEOUT).await;
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
        () = drain(&gateway.aggregator) => {
            // The request in flight is answered before the connection closes.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "HTTP connection failed");
    }
}
