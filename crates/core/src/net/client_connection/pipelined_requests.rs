//! Requests that a client has sent ahead of the replies to the ones before.

use crate::api::Nanos;
use crate::net::open_requests::OpenRequest;
use crate::protocol::http::{Request, RequestError, MAX_BODY_BYTES};
use std::collections::VecDeque;

/// The most requests that are read ahead on one connection.
const MAX_REQUESTS: usize = 256;
/// The most bytes of their bodies.
const MAX_BUFFERED_BODY_BYTES: usize = MAX_BODY_BYTES;

const TOO_MANY_REQUESTS: RequestError = RequestError {
    status: 429,
    why: "too many requests ahead of their answers",
};

/// A request as it was decoded, or what is wrong with it.
pub(super) type DecodedRequest = Result<Request, RequestError>;

/// A request with the time at which its last byte arrived.
pub(super) struct ReceivedRequest {
    pub(super) arrived: Nanos,
    pub(super) request: DecodedRequest,
    /// Dropped once the request is answered. A shutdown waits for that.
    pub(super) open: OpenRequest,
}

/// Whether more requests may be read ahead on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadAhead {
    Continue,
    /// A limit is reached: all further input is discarded.
    Stop,
}

/// The pipelined requests of one connection, in order.
#[derive(Default)]
pub(super) struct PipelinedRequests {
    requests: VecDeque<ReceivedRequest>,
    body_bytes: usize,
}

impl PipelinedRequests {
    /// Appends a request. If that exceeds a limit, the request is replaced by an error, and reading
    /// stops.
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

    /// Takes the next request.
    pub(super) fn pop(&mut self) -> Option<ReceivedRequest> {
        let received = self.requests.pop_front()?;
        // A rejected request was counted with its body.
        let body_bytes = body_length(&received.request).min(self.body_bytes);
        self.body_bytes -= body_bytes;
        Some(received)
    }

    /// Whether no request is waiting.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

fn body_length(request: &DecodedRequest) -> usize {
    request.as_ref().map_or(0, |request| request.body.len())
}
