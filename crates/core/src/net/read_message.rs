//! Reads one message of a connection within a time limit.

use futures_util::StreamExt;
use std::io;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Duration, Instant};
use tokio_util::codec::{Decoder, Framed};

/// How the wait for a message ended.
pub(super) enum MessageRead<M> {
    Received(M),
    /// The peer has closed the connection.
    EndOfStream,
    /// The message was not complete in time. It may not even have begun: the socket may be reported
    /// as readable and then have nothing to read.
    TimedOut,
}

/// Reads the next message of a connection.
///
/// `began_at` is the time at which the message began. The message must be complete within
/// `time_limit` from then on, no matter how many bytes arrive in between. The caller keeps
/// `began_at`, since it may drop this future and call the function again before the message is
/// complete.
pub(super) async fn read_message<C: Decoder<Error = io::Error>>(
    connection: &mut Framed<TcpStream, C>,
    began_at: &mut Option<Instant>,
    time_limit: Duration,
) -> io::Result<MessageRead<C::Item>> {
    let since = match *began_at {
        Some(since) => since,
        None => {
            if connection.read_buffer().is_empty() {
                // An error is ignored here: the read that follows returns the same one.
                let _ = connection.get_ref().readable().await;
            }
            *began_at.insert(Instant::now())
        }
    };
    let Ok(next) = timeout_at(since + time_limit, connection.next()).await else {
        return Ok(MessageRead::TimedOut);
    };
    *began_at = None;
    Ok(next
        .transpose()?
        .map_or(MessageRead::EndOfStream, MessageRead::Received))
}
