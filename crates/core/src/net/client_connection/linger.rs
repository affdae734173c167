//! The last step of a connection that this side closes: its client may still be sending.

use super::ClientStream;
use crate::net::shared::Shared;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, Duration};

/// How long input is still read and discarded after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Shuts the writing side down and reads on until the client has closed its own.
///
/// Closing with unread bytes, or while some are on their way, would reset the connection, and the
/// reset can overtake the last response. What is read is discarded, even if it is the first request
/// of the connection: its client gets the end of the connection in place of a response.
pub(super) async fn linger(shared: &Shared, stream: &mut ClientStream) {
    stream.codec_mut().discard_input();
    let _ = stream.get_mut().shutdown().await;
    let discard = async { while let Some(Ok(_)) = stream.next().await {} };
    shared.clients.begin_lingering();
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, discard) => {}
        // A new connection needs the capacity that this one occupies.
        () = shared.clients.capacity_needed() => {}
    }
    shared.clients.end_lingering();
}
