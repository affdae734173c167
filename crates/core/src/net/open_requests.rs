//! The requests that were read and are not answered yet, whichever frontend has read them.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the open requests of a process. All clones refer to the same count.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRequests(Rc<Cell<usize>>);

impl OpenRequests {
    /// Counts a request that was read.
    pub(super) fn open(&self) -> OpenRequest {
        self.0.set(self.0.get() + 1);
        OpenRequest(self.clone())
    }

    /// The number of requests that are open.
    pub(super) fn count(&self) -> usize {
        self.0.get()
    }
}

/// A request that was read. It is open until this is dropped: once its response is written, or its
/// client has gone.
#[derive(Debug)]
pub struct OpenRequest(OpenRequests);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let count = &self.0 .0;
        count.set(count.get() - 1);
    }
}
