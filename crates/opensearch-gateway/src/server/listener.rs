//! Accepts connections.

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

/// Starts a task that serves connections to `listener` until the aggregator stops accepting
/// connections.
///
/// Must be called within the `LocalSet` in which the aggregator runs.
pub fn start(
    settings: GatewaySettings,
    tls: Option<Rc<ReloadableTls>>,
    listener: TcpListener,
    aggregator: InternalClient,
) {
    let gateway = Rc::new(Gateway::new(settings, aggregator));
    tokio::task::spawn_local(accept_connections(gateway, tls, listener));
}

/// Accepts connections up to the configured maximum; further connections wait in the listener's
/// backlog.
///
/// When the aggregator stops accepting connections, all connections in the backlog are accepted
/// before the listener is closed, because closing the listener would reset them.
async fn accept_connections(
    gateway: Rc<Gateway>,
    tls: Option<Rc<ReloadableTls>>,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(gateway.settings.max_connections));
    loop {
        let connection = tokio::select! {
            connection = accept_next(&permits, &listener) => connection,
            () = gateway.aggregator.listening_stopped() => break,
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

/// A connection that has been accepted but is not served yet.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    /// Counts the connection towards the configured maximum until it is closed. `None` for a
    /// connection from the backlog that is accepted during shutdown.
    permit: Option<OwnedSemaphorePermit>,
}

/// Waits until the number of connections is below the maximum, then accepts the next one.
async fn accept_next(permits: &Arc<Semaphore>, listener: &TcpListener) -> AcceptedConnection {
    // Acquiring fails only on a closed semaphore, and this semaphore is never closed.
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

/// Starts a task that serves the connection and holds its permit until the connection is closed.
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
