//! The last phase of a graceful shutdown, from the exit that the engine has requested to the exit
//! deadline. The phases before it are in `engine/shutdown.rs`.

use crate::net::shared::Shared;
use tokio::time::{timeout_at, Duration, Instant};

/// How long replies that are sent only at the exit deadline may take to be written.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(20);

/// Waits until all clients have ended, or until the exit deadline.
pub(super) async fn wait_for_clients(shared: &Shared, exit_deadline: Instant) {
    let all_ended = async {
        while has_open_clients(shared) {
            shared.clients.client_ended().notified().await;
        }
    };
    let last_writes = Instant::now() + LAST_WRITES_TIMEOUT;
    let _ = timeout_at(exit_deadline.max(last_writes), all_ended).await;
}

/// Whether a client's connection, or a request of any frontend, has not ended.
fn has_open_clients(shared: &Shared) -> bool {
    shared.clients.len() > 0 || shared.open_requests.count() > 0
}

/// Logs what has not ended when the process exits. Each request that was read must have been
/// answered.
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
