//! Requests that a client has sent before the replies to earlier ones.

use super::received_request::ReceivedRequest;
use crate::protocol::http::RequestError;
use std::collections::VecDeque;

/// Maximum number of requests that are read ahead on one connection.
const MAX_REQUESTS: usize = 256;

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
}

impl PipelinedRequests {
    /// Appends a request. If there are too many, it is replaced by an error. Reading ahead has to
    /// stop behind any invalid request, since the connection is closed after its response.
    pub(super) fn push(&mut self, mut received: ReceivedRequest) -> ReadAhead {
        if self.requests.len() >= MAX_REQUESTS {
            received.reject(RequestError::TOO_MANY_REQUESTS);
        }
        let is_last = received.request.is_err();
        self.requests.push_back(received);
        if is_last {
            ReadAhead::Stop
        } else {
            ReadAhead::Continue
        }
    }

    /// Removes and returns the next request.
    pub(super) fn pop(&mut self) -> Option<ReceivedRequest> {
        let received = self.requests.pop_front();
        if self.requests.is_empty() {
            // The memory of a long queue is not needed for the next request.
            self.requests.shrink_to_fit();
        }
        received
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
