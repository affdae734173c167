//! Count of the requests that were read and are not answered yet, over all frontends.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Counts the open requests of a process. All clones refer to the same count.
#[derive(Clone, Debug)]
pub(super) struct OpenRequests {
    count: Rc<Cell<usize>>,
    request_ended: Rc<Notify>,
}

impl OpenRequests {
    /// Creates a count of zero. `request_ended` is notified whenever a request ends.
    pub(super) fn new(request_ended: Rc<Notify>) -> OpenRequests {
        OpenRequests {
            count: Rc::default(),
            request_ended,
        }
    }

    /// Counts a request that was read, until the returned guard is dropped.
    pub(super) fn open(&self) -> OpenRequest {
        self.count.set(self.count.get() + 1);
        OpenRequest(self.clone())
    }

    /// Returns the number of open requests.
    pub(super) fn count(&self) -> usize {
        self.count.get()
    }
}

/// Guard for a request that was read. The request is open until the guard is dropped, which happens
/// once its response is written or its client has disconnected.
#[derive(Debug)]
pub struct OpenRequest(OpenRequests);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open_requests = &self.0;
        open_requests.count.set(open_requests.count.get() - 1);
        open_requests.request_ended.notify_one();
    }
}
