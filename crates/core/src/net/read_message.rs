//! Reads one message of a connection within a time limit.

use futures_util::StreamExt;
use std::io;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Duration, Instant};
use tokio_util::codec::{Decoder, Framed};

/// How the wait for a message ended.
pub(super) enum MessageRead<M> {
    Received(M),
    /// The other side has closed the connection.
    EndOfStream,
    /// The message was not complete in time. It has not even begun if the socket turned out to have
    /// nothing to read.
    TimedOut,
}

/// Reads the next message of a connection.
///
/// `begun` is when the message began; from then on it has to be complete within `time_limit`,
/// however many bytes arrive in between. The caller keeps `begun`, as this future may be dropped
/// and called again before the message is complete.
pub(super) async fn read_message<C: Decoder<Error = io::Error>>(
    connection: &mut Framed<TcpStream, C>,
    begun: &mut Option<Instant>,
    time_limit: Duration,
) -> io::Result<MessageRead<C::Item>> {
    let since = match *begun {
        Some(since) => since,
        None => {
            if connection.read_buffer().is_empty() {
                // The read that follows returns the same error, if there is one.
                let _ = connection.get_ref().readable().await;
            }
            *begun.insert(Instant::now())
        }
    };
    let Ok(next) = timeout_at(since + time_limit, connection.next()).await else {
        return Ok(MessageRead::TimedOut);
    };
    *begun = None;
    Ok(next
        .transpose()?
        .map_or(MessageRead::EndOfStream, MessageRead::Received))
}
