//! Accepts the connections that are still in the backlog of a listener before the listener closes,
//! which would reset them.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};

/// Time without a new connection after which the backlog counts as empty. Within this time, the
/// operating system has reported every connection in it.
const BACKLOG_QUIET_TIME: Duration = Duration::from_millis(5);
/// Maximum number of connections accepted from the backlog, which is also the maximum that the
/// operating system keeps. Later ones are not accepted, so that a flood of connections cannot keep
/// the listener open.
const MAX_BACKLOG_CONNECTIONS: usize = 1024;
/// Pause after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connections in the backlog of a listener that is about to close.
pub struct Backlog {
    listener: TcpListener,
    remaining: usize,
}

impl Backlog {
    /// Takes over a listener, which closes when the returned value is dropped.
    pub fn new(listener: TcpListener) -> Backlog {
        Backlog {
            listener,
            remaining: MAX_BACKLOG_CONNECTIONS,
        }
    }

    /// Accepts the next connection. Returns `None` once the backlog is empty or
    /// `MAX_BACKLOG_CONNECTIONS` were accepted. A failed accept loses only its own connection, so
    /// the next one is accepted after a pause.
    pub async fn accept(&mut self) -> Option<(TcpStream, SocketAddr)> {
        self.remaining = self.remaining.checked_sub(1)?;
        loop {
            match timeout(BACKLOG_QUIET_TIME, self.listener.accept()).await {
                Ok(Ok(accepted)) => return Some(accepted),
                Ok(Err(error)) => pause_after_failed_accept(&error).await,
                Err(_) => return None,
            }
        }
    }
}

/// Logs a failed accept, then pauses to let file descriptors become free.
pub async fn pause_after_failed_accept(error: &io::Error) {
    tracing::warn!("cannot accept a connection: {error}");
    sleep(ACCEPT_RETRY_DELAY).await;
}
