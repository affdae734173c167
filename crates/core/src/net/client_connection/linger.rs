//! The last step in closing a connection, whose client may still be sending.

use super::ClientStream;
use crate::net::shared::Shared;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, Duration};

/// Maximum time for which input is read and discarded after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Shuts down the write side and reads until the client has closed its side.
///
/// Closing a connection while bytes are unread or in transit would reset it, and the reset can
/// overtake the last response. All input is discarded, even the first request of the connection:
/// its client gets the end of the connection instead of a response.
pub(super) async fn linger(shared: &Shared, stream: &mut ClientStream) {
    stream.codec_mut().discard_input();
    let _ = stream.get_mut().shutdown().await;
    let discard = async { while let Some(Ok(_)) = stream.next().await {} };
    let end_requested = shared.clients.begin_lingering();
    tokio::select! {
        // Input that has arrived is discarded first, since it would cause a reset.
        biased;
        _ = timeout(LINGER_TIMEOUT, discard) => {}
        // A new connection needs the capacity that this one occupies.
        _ = end_requested => {}
    }
}
