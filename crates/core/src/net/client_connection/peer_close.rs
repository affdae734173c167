//! Notices that a client has closed its connection, as early as the operating system reports it.
//!
//! A client may leave much unread input behind when it closes. Its requests must not be forwarded
//! any more. The end of the input arrives only behind the input itself, of which the client's
//! operating system may still hold a part. So a request is forwarded only once everything that has
//! arrived behind it is read (`read_ahead.rs`).

use super::ClientStream;
use crate::protocol::http::{Request, RequestError};
use futures_util::{FutureExt, StreamExt};
use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use tokio::io::Interest;
use tokio::task::{coop, yield_now};

/// A decoded request, or the reason why it is invalid.
pub(super) type DecodedRequest = Result<Request, RequestError>;

/// What has arrived on a connection.
pub(super) enum Arrival {
    Request(DecodedRequest),
    /// Everything that has arrived is read. It may end within a request.
    Nothing,
    /// The client has closed its side.
    Closed,
}

/// Reads the next request. Returns `None` once the client has closed its side, whether or not the
/// input before its end has been read.
pub(super) async fn next_request_unless_closed(
    stream: &mut ClientStream,
) -> Option<io::Result<DecodedRequest>> {
    poll_fn(|context| poll_request(stream, context)).await
}

/// Reads a request that has already arrived, without waiting for further input.
pub(super) async fn next_arrival(stream: &mut ClientStream) -> io::Result<Arrival> {
    loop {
        let polled = poll_fn(|context| Poll::Ready(poll_request(stream, context))).await;
        match polled {
            Poll::Ready(Some(request)) => return request.map(Arrival::Request),
            Poll::Ready(None) => return Ok(Arrival::Closed),
            Poll::Pending if coop::has_budget_remaining() => return Ok(Arrival::Nothing),
            // The task has used up its turn, and there may be more to read.
            Poll::Pending => yield_now().await,
        }
    }
}

fn poll_request(
    stream: &mut ClientStream,
    context: &mut Context,
) -> Poll<Option<io::Result<DecodedRequest>>> {
    if has_closed(stream) {
        return Poll::Ready(None);
    }
    // If nothing can be read, this also registers for the report of the close.
    stream.poll_next_unpin(context)
}

/// Returns whether the operating system has reported that the client has closed its side.
fn has_closed(stream: &ClientStream) -> bool {
    let ready = stream.get_ref().ready(Interest::READABLE).now_or_never();
    matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
}
