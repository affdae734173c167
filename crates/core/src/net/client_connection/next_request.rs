//! Waits for the next request on an idle connection.

use super::ending::CloseReason;
use super::peer_close::DecodedRequest;
use super::ClientStream;
use crate::net::client_command::ClientCommand;
use crate::net::read_message::{read_message, MessageRead};
use crate::protocol::http::RequestError;
use futures_util::StreamExt;
use std::io;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// Maximum time from the beginning of a request to its end; a slower request gets status 408. The
/// first request counts from the opening of the connection, so a silent connection is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a connection that is closed at the end of the drain period waits for the rest of
/// a request, or for the first request, which clients send at once on a new connection. Short
/// enough to answer the request before the answer deadline of `engine/shutdown.rs`. The first
/// request of an evicted client may arrive within this time from the opening of the connection on.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum time for which an evicted client's first request is waited for. Within this time, the
/// operating system has reported a request that has arrived.
const MIN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(5);

const REQUEST_TOO_SLOW: RequestError = RequestError {
    status: 408,
    why: "the request took too long",
};

/// Outcome of the wait for the next request.
pub(super) enum NextRequest {
    Received(DecodedRequest),
    /// The client has closed the connection.
    Disconnected,
    /// The aggregator has to close the connection.
    Close(CloseReason),
}

/// Waits for the next request. `opened_at` is the time at which the connection opened if no request
/// has arrived yet; the wait then ends after [`REQUEST_TIMEOUT`].
pub(super) async fn next_request(
    stream: &mut ClientStream,
    commands: &mut mpsc::Receiver<ClientCommand>,
    opened_at: Option<Instant>,
) -> io::Result<NextRequest> {
    let mut began_at = opened_at.or_else(|| is_in_request(stream).then(Instant::now));
    loop {
        tokio::select! {
            biased;
            read = read_message(stream, &mut began_at, REQUEST_TIMEOUT) => match read? {
                MessageRead::Received(request) => return Ok(NextRequest::Received(request)),
                MessageRead::EndOfStream => return Ok(NextRequest::Disconnected),
                MessageRead::TimedOut if is_in_request(stream) => {
                    stream.codec_mut().discard_input();
                    return Ok(NextRequest::Received(Err(REQUEST_TOO_SLOW)));
                }
                MessageRead::TimedOut if opened_at.is_some() => {
                    return Ok(NextRequest::Close(CloseReason::Silent));
                }
                // The socket had nothing to read after all: no request has begun.
                MessageRead::TimedOut => began_at = None,
            },
            command = commands.recv() => match command {
                Some(ClientCommand::Close) => {
                    return last_request(stream, eviction_timeout(opened_at)).await;
                }
                Some(ClientCommand::Drain) => {
                    let is_expected = opened_at.is_some() || is_in_request(stream);
                    let time_limit = if is_expected { LAST_REQUEST_TIMEOUT } else { Duration::ZERO };
                    return last_request(stream, time_limit).await;
                }
                // No request is open, so no reply is expected.
                Some(ClientCommand::Reply { .. }) => {}
                None => return Ok(NextRequest::Close(CloseReason::Stopped)),
            },
        }
    }
}

/// Returns the time for which an evicted client may still send a request. A new client sends its
/// first request at once, and a close would cross it. Otherwise, only a complete request that has
/// arrived is served, since new clients need the capacity.
fn eviction_timeout(opened_at: Option<Instant>) -> Duration {
    opened_at.map_or(Duration::ZERO, |opened_at| {
        let remaining = LAST_REQUEST_TIMEOUT.saturating_sub(opened_at.elapsed());
        remaining.max(MIN_FIRST_REQUEST_TIMEOUT)
    })
}

/// Reads one more request if it is complete within `time_limit`. Otherwise, the connection has to
/// be closed.
async fn last_request(stream: &mut ClientStream, time_limit: Duration) -> io::Result<NextRequest> {
    let Ok(read) = timeout(time_limit, stream.next()).await else {
        return Ok(NextRequest::Close(CloseReason::Requested));
    };
    Ok(read
        .transpose()?
        .map_or(NextRequest::Disconnected, NextRequest::Received))
}

/// Returns whether part of a request has been read.
fn is_in_request(stream: &ClientStream) -> bool {
    stream.codec().is_in_request() || !stream.read_buffer().is_empty()
}
