//! Accepts client connections.

use super::backlog::{pause_after_failed_accept, Backlog};
use super::client_connection;
use super::client_registry::RegisteredClient;
use super::running_frontend::RunningFrontend;
use super::shared::Shared;
use crate::engine::Input;
use std::pin::pin;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout_at, Duration, Instant};

/// Number of connections above the maximum that are still accepted while the engine closes others
/// to make room. Without a limit, a flood of connections would take the file descriptors that
/// connections to leaf servers need.
const MAX_EXCESS_CONNECTIONS: usize = 16;
/// Interval of the warnings while no connection is accepted because too many are open.
const STALL_WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts connections until the drain period of a shutdown ends (`engine/shutdown.rs`), and then
/// those that are left in the backlog, which closing the listener would reset.
pub(super) async fn accept_connections(
    shared: Shared,
    running_frontend: RunningFrontend,
    listener: TcpListener,
    max_connections: usize,
) {
    let mut stopped = pin!(shared.listening_stopped());
    loop {
        tokio::select! {
            biased;
            () = &mut stopped => break,
            stream = accept_next(&shared, &listener, max_connections) => {
                serve_connection(&shared, stream).await;
            }
        }
    }
    let mut accepted = 0;
    let mut backlog = Backlog::new(listener);
    while let Some((stream, _)) = backlog.accept().await {
        serve_connection(&shared, stream).await;
        accepted += 1;
    }
    drop(backlog);
    tracing::info!(accepted, "listening stopped");
    // Dropped last: by now, every accepted connection has been announced to the engine.
    drop(running_frontend);
}

/// Accepts the next connection, once there is capacity for it.
async fn accept_next(shared: &Shared, listener: &TcpListener, max_connections: usize) -> TcpStream {
    loop {
        if shared.clients.len() >= max_connections {
            shared.clients.end_oldest_lingering();
        }
        wait_for_capacity(shared, max_connections + MAX_EXCESS_CONNECTIONS).await;
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => pause_after_failed_accept(&error).await,
        }
    }
}

/// Waits until fewer than `max_clients` clients are connected. Meanwhile, lingering connections are
/// ended one after the other.
async fn wait_for_capacity(shared: &Shared, max_clients: usize) {
    let clients = &shared.clients;
    let mut next_warning = Instant::now() + STALL_WARNING_INTERVAL;
    while clients.len() >= max_clients {
        clients.end_oldest_lingering();
        let client_ended = clients.client_ended().notified();
        if timeout_at(next_warning, client_ended).await.is_err() {
            tracing::warn!(
                clients = clients.len(),
                lingering = clients.lingering(),
                open_requests = shared.open_requests.count(),
                "no connections are accepted: too many clients are connected"
            );
            next_warning += STALL_WARNING_INTERVAL;
        }
    }
}

/// Announces a connection to the engine and spawns the task that serves it.
async fn serve_connection(shared: &Shared, stream: TcpStream) {
    let RegisteredClient { client, commands } = shared.clients.register();
    let client_connected = Input::ClientConnected { client };
    let _ = shared.inputs.send(client_connected).await;
    tokio::task::spawn_local(client_connection::run(
        shared.clone(),
        client,
        stream,
        commands,
    ));
}
