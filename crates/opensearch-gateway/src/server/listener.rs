//! Accepting connections.

use super::connection::serve_connection;
use super::context::Gateway;
use crate::settings::GatewaySettings;
use crate::tls::ReloadableTls;
use aggregator_core::net::{pause_after_failed_accept, Backlog, InternalClient};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

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

/// Accepts connections, as many at once as the settings allow; more wait in the listener's backlog.
/// When the aggregator stops, those in the backlog are served as well: closing the listener would
/// reset them.
async fn accept_connections(
    gateway: Rc<Gateway>,
    tls: Option<Rc<ReloadableTls>>,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(gateway.settings.max_connections));
    loop {
        let connection = tokio::select! {
            accepted = accept_next(&permits, &listener) => accepted,
            () = gateway.aggregator.stopped() => break,
        };
        spawn_connection(&gateway, &tls, connection);
    }
    let mut backlog = Backlog::new(listener);
    while let Some((stream, peer)) = backlog.accept().await {
        let connection = AcceptedConnection {
            stream,
            peer,
            permit: None,
        };
        spawn_connection(&gateway, &tls, connection);
    }
}

/// A new connection.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    /// Counts against the maximum number of connections until the connection has ended. None for
    /// those that are accepted while the aggregator stops.
    permit: Option<OwnedSemaphorePermit>,
}

/// Accepts a connection once the settings allow one more.
async fn accept_next(permits: &Arc<Semaphore>, listener: &TcpListener) -> AcceptedConnection {
    // Fails only if the semaphore is closed, which it never is.
    let permit = permits.clone().acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                return AcceptedConnection {
                    stream,
                    peer,
                    permit,
                }
            }
            Err(error) => pause_after_failed_accept(&error).await,
        }
    }
}

/// Serves a connection, and holds its permit until it has ended.
fn spawn_connection(
    gateway: &Rc<Gateway>,
    tls: &Option<Rc<ReloadableTls>>,
    connection: AcceptedConnection,
) {
    let gateway = gateway.clone();
    let tls = tls.clone();
    tokio::task::spawn_local(async move {
        let AcceptedConnection {
            stream,
            peer,
            permit,
        } = connection;
        serve_connection(gateway, tls.as_deref(), stream, peer).await;
        drop(permit);
    });
}
