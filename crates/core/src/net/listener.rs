//! Accepts the connections of clients.

use super::client_connection;
use super::shared::Shared;
use super::MAX_QUEUED_COMMANDS;
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

/// The pause after a failed accept, which means that no descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connections above the maximum that are still accepted: so many are being closed to make place
/// for new ones. Without a limit, a flood would take the descriptors that connections to leaf
/// servers need.
const MAX_EXCESS_CONNECTIONS: usize = 16;

/// Accepts connections until the engine stops it, and then the ones that are already waiting: a
/// listener that closes would reset them.
pub(super) async fn accept_connections(
    shared: Shared,
    listener: TcpListener,
    max_connections: usize,
) {
    let mut stopped = shared.listening_stopped.subscribe();
    tokio::select! {
        () = accept_forever(&shared, &listener, max_connections) => {}
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn_connection(&shared, stream);
    }
}

async fn accept_forever(shared: &Shared, listener: &TcpListener, max_connections: usize) {
    loop {
        let is_full = shared.clients.borrow().len() >= max_connections;
        if is_full && shared.lingering.get() > 0 {
            shared.capacity_needed.notify_one();
        }
        while shared.clients.borrow().len() >= max_connections + MAX_EXCESS_CONNECTIONS {
            shared.client_ended.notified().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(shared, stream),
            Err(error) => {
                tracing::warn!("accept: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(shared: &Shared, stream: TcpStream) {
    let client = shared.next_client_id();
    let (commands, queued_commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
    shared.clients.borrow_mut().insert(client, commands);
    tokio::task::spawn_local(client_connection::run(
        shared.clone(),
        client,
        stream,
        queued_commands,
    ));
}
