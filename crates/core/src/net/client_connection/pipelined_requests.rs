//! Requests that a client has sent before the replies to earlier ones.

use crate::api::Nanos;
use crate::net::open_requests::OpenRequest;
use crate::protocol::http::{Request, RequestError, MAX_BODY_BYTES};
use std::collections::VecDeque;

/// Maximum number of requests that are read ahead on one connection.
const MAX_REQUESTS: usize = 256;
/// Maximum total length of the bodies of these requests.
const MAX_BUFFERED_BODY_BYTES: usize = MAX_BODY_BYTES;

const TOO_MANY_REQUESTS: RequestError = RequestError {
    status: 429,
    why: "too many requests ahead of their answers",
};

/// A decoded request, or the reason why it is invalid.
pub(super) type DecodedRequest = Result<Request, RequestError>;

/// A request with its time of arrival.
pub(super) struct ReceivedRequest {
    /// Time at which the last byte of the request arrived, in Unix nanoseconds.
    pub(super) arrived_at: Nanos,
    pub(super) request: DecodedRequest,
    /// Guard that is dropped once the request is answered. A shutdown waits for that.
    pub(super) open_request: OpenRequest,
}

/// Whether more requests may be read ahead on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadAhead {
    Continue,
    /// A limit is reached, so all further input has to be discarded.
    Stop,
}

/// The pipelined requests of one connection, in order.
#[derive(Default)]
pub(super) struct PipelinedRequests {
    requests: VecDeque<ReceivedRequest>,
    body_bytes: usize,
}

impl PipelinedRequests {
    /// Appends a request. If it exceeds a limit, it is replaced by an error, and reading ahead has
    /// to stop.
    pub(super) fn push(&mut self, mut received: ReceivedRequest) -> ReadAhead {
        self.body_bytes += body_length(&received.request);
        let is_full =
            self.requests.len() >= MAX_REQUESTS || self.body_bytes > MAX_BUFFERED_BODY_BYTES;
        let is_rejected = received.request.is_ok() && is_full;
        if is_rejected {
            received.request = Err(TOO_MANY_REQUESTS);
        }
        self.requests.push_back(received);
        if is_rejected {
            ReadAhead::Stop
        } else {
            ReadAhead::Continue
        }
    }

    /// Removes and returns the next request.
    pub(super) fn pop(&mut self) -> Option<ReceivedRequest> {
        let received = self.requests.pop_front()?;
        // The count still includes the body of a rejected request, which was dropped.
        let body_bytes = body_length(&received.request).min(self.body_bytes);
        self.body_bytes -= body_bytes;
        Some(received)
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

fn body_length(request: &DecodedRequest) -> usize {
    request.as_ref().map_or(0, |request| request.body.len())
}
