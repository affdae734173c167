//! Reads one message of a connection within a time limit.

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Duration, Instant};
use tokio_util::codec::{Decoder, Framed};

/// Reads the next message of a connection: none at its end, or an error if the message is late.
/// `begun` is when the message began; from then on it has to be complete within `time_limit`,
/// however many bytes arrive in between. The caller keeps it, as this future may be dropped for
/// something more urgent.
pub(super) async fn read_message<C: Decoder>(
    connection: &mut Framed<TcpStream, C>,
    begun: &mut Option<Instant>,
    time_limit: Duration,
) -> Result<Option<Result<C::Item, C::Error>>, Elapsed> {
    let since = match *begun {
        Some(since) => since,
        None => {
            if connection.read_buffer().is_empty() {
                // An error shows again at the read that follows.
                let _ = connection.get_ref().readable().await;
            }
            *begun.insert(Instant::now())
        }
    };
    let next = timeout_at(since + time_limit, connection.next()).await?;
    *begun = None;
    Ok(next)
}
