//! The last phase of a graceful shutdown, from the engine's exit request to the exit deadline.
//! `engine/shutdown.rs` has the phases before it.

use crate::net::shared::Shared;
use tokio::time::{timeout_at, Duration, Instant};

/// Maximum time to write replies that are sent only at the exit deadline.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(20);

/// Waits until all clients have disconnected, at most until the exit deadline. If the deadline has
/// passed, replies still have [`LAST_WRITES_TIMEOUT`] to be written.
pub(super) async fn wait_for_clients(shared: &Shared, exit_deadline: Instant) {
    let all_ended = async {
        while has_open_clients(shared) {
            shared.clients.client_ended().notified().await;
        }
    };
    let last_writes = Instant::now() + LAST_WRITES_TIMEOUT;
    let _ = timeout_at(exit_deadline.max(last_writes), all_ended).await;
}

/// Returns whether a client is connected or a request of any frontend is open.
fn has_open_clients(shared: &Shared) -> bool {
    shared.clients.len() > 0 || shared.open_requests.count() > 0
}

/// Logs the number of connections and requests that are still open when the process exits. Every
/// request that was read must have been answered.
pub(super) fn log_process_end(shared: &Shared) {
    let connections = shared.clients.len();
    let unanswered = shared.open_requests.count();
    if unanswered > 0 {
        tracing::error!(
            connections,
            unanswered,
            "process ends with requests unanswered"
        );
    } else {
        tracing::info!(connections, unanswered, "process ends");
    }
}
