//! The connections that wait to be accepted when a listener closes, which would reset them.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};

/// The listener closes after it has accepted nothing for this long: in that time the system has
/// reported every connection that was waiting to be accepted.
const QUIET_TIME: Duration = Duration::from_millis(5);
/// The most connections that are accepted from the backlog, which is also the most that the system
/// keeps. Later ones are not accepted: a flood must not keep the listener open.
const MAX_WAITING: usize = 1024;
/// The pause after a failed accept, which usually means that no descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connections that wait at a listener that is about to close.
pub struct Backlog {
    listener: TcpListener,
    remaining: usize,
}

impl Backlog {
    /// The backlog of this listener, which closes when the value is dropped.
    pub fn new(listener: TcpListener) -> Backlog {
        Backlog {
            listener,
            remaining: MAX_WAITING,
        }
    }

    /// Accepts the next connection; none once no more are waiting. After a failed accept it goes
    /// on: the connection that failed is lost, others still wait.
    pub async fn accept(&mut self) -> Option<(TcpStream, SocketAddr)> {
        self.remaining = self.remaining.checked_sub(1)?;
        loop {
            match timeout(QUIET_TIME, self.listener.accept()).await {
                Ok(Ok(accepted)) => return Some(accepted),
                Ok(Err(error)) => pause_after_failed_accept(&error).await,
                Err(_) => return None,
            }
        }
    }
}

/// Logs a failed accept, and waits a moment for descriptors to become free.
pub async fn pause_after_failed_accept(error: &io::Error) {
    tracing::warn!("accept: {error}");
    sleep(ACCEPT_RETRY_DELAY).await;
}
