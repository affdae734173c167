//! Waits for the next request on a connection on which none is open.

use super::ending::CloseReason;
use super::pipelined_requests::DecodedRequest;
use super::ClientStream;
use crate::net::client_command::ClientCommand;
use crate::net::read_message::{read_message, MessageRead};
use crate::protocol::http::RequestError;
use futures_util::StreamExt;
use std::io;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// A request that has begun must be complete within this time, or it gets status 408. The first one
/// begins with the connection, so a silent connection is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection that is closed at the end of the drain period waits for the rest of a
/// request, or for the first one, which follows a new connection at once. Short enough that it is
/// answered before the answer deadline of `engine/shutdown.rs`.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

const REQUEST_TOO_SLOW: RequestError = RequestError {
    status: 408,
    why: "the request took too long",
};

/// What arrives on an idle connection.
pub(super) enum NextRequest {
    Received(DecodedRequest),
    /// The client has closed the connection.
    Disconnected,
    /// The connection is to be closed.
    Close(CloseReason),
}

/// Waits for the next request; on a connection that has just `opened`, no longer than for a
/// complete request.
pub(super) async fn next_request(
    stream: &mut ClientStream,
    commands: &mut mpsc::Receiver<ClientCommand>,
    opened: Option<Instant>,
) -> io::Result<NextRequest> {
    let mut begun = opened.or_else(|| is_in_request(stream).then(Instant::now));
    loop {
        tokio::select! {
            biased;
            read = read_message(stream, &mut begun, REQUEST_TIMEOUT) => match read? {
                MessageRead::Received(request) => return Ok(NextRequest::Received(request)),
                MessageRead::EndOfStream => return Ok(NextRequest::Disconnected),
                MessageRead::TimedOut if is_in_request(stream) => {
                    stream.codec_mut().discard_input();
                    return Ok(NextRequest::Received(Err(REQUEST_TOO_SLOW)));
                }
                MessageRead::TimedOut if opened.is_some() => {
                    return Ok(NextRequest::Close(CloseReason::Silent));
                }
                // The socket was no longer readable: no request has begun.
                MessageRead::TimedOut => begun = None,
            },
            command = commands.recv() => match command {
                // A complete request that has arrived is served. An incomplete one is not waited
                // for, since new clients need the capacity.
                Some(ClientCommand::Close) => return last_request(stream, Duration::ZERO).await,
                Some(ClientCommand::Drain) => {
                    let is_expected = opened.is_some() || is_in_request(stream);
                    let time_limit = if is_expected { LAST_REQUEST_TIMEOUT } else { Duration::ZERO };
                    return last_request(stream, time_limit).await;
                }
                // No request is waiting, so no reply is due.
                Some(ClientCommand::Reply { .. }) => {}
                None => return Ok(NextRequest::Close(CloseReason::Stopped)),
            },
        }
    }
}

/// Reads one more request if it is complete within this time; else the connection is closed.
async fn last_request(stream: &mut ClientStream, time_limit: Duration) -> io::Result<NextRequest> {
    let Ok(read) = timeout(time_limit, stream.next()).await else {
        return Ok(NextRequest::Close(CloseReason::Requested));
    };
    Ok(read
        .transpose()?
        .map_or(NextRequest::Disconnected, NextRequest::Received))
}

/// Whether part of a request has been read.
fn is_in_request(stream: &ClientStream) -> bool {
    stream.codec().in_request() || !stream.read_buffer().is_empty()
}
