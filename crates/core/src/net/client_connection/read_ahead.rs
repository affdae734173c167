//! Reads the input behind a request before the request is handed to the engine.
//!
//! The client may have closed its connection behind a request. What has arrived is read first, so
//! that a close is noticed and the request is not forwarded (`peer_close.rs`).

use super::peer_close::{next_arrival, next_request_unless_closed, Arrival, DecodedRequest};
use super::pipelined_requests::ReadAhead;
use super::received_request::ReceivedRequest;
use super::serving::ClientConnection;
use std::io;
use tokio::task::yield_now;
use tokio::time::{timeout, Duration};

/// Maximum time for which the input behind a request is read.
const READ_AHEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of bytes behind a request that arrive at once. Of more input, the client's operating
/// system holds back a part until earlier input is read.
const MAX_BYTES_AT_ONCE: u64 = 64 * 1024;
/// Time within which input that was held back arrives, even if it has to be sent again.
const TRANSIT_TIME: Duration = Duration::from_millis(250);

/// Outcome of reading the input behind a request.
pub(super) enum ReadAheadEnd {
    /// Everything that has arrived is read.
    AllRead,
    /// The client has closed the connection.
    Disconnected,
    /// The client has sent without a pause for [`READ_AHEAD_TIMEOUT`].
    Endless,
}

impl ClientConnection<'_> {
    /// Reads everything that has arrived behind a request, and queues the requests among it.
    pub(super) async fn read_ahead(&mut self) -> io::Result<ReadAheadEnd> {
        let read = timeout(READ_AHEAD_TIMEOUT, self.read_arrived()).await;
        read.unwrap_or(Ok(ReadAheadEnd::Endless))
    }

    async fn read_arrived(&mut self) -> io::Result<ReadAheadEnd> {
        let start = self.stream.codec().consumed_bytes();
        let mut bytes_before = 0;
        loop {
            match next_arrival(&mut self.stream).await? {
                Arrival::Request(request) => self.queue_request(request).await,
                Arrival::Closed => return Ok(ReadAheadEnd::Disconnected),
                Arrival::Nothing => {
                    let bytes = self.stream.codec().consumed_bytes() - start;
                    if bytes == bytes_before {
                        return Ok(ReadAheadEnd::AllRead);
                    }
                    bytes_before = bytes;
                    self.wait_for_further_input(bytes).await?;
                }
            }
        }
    }

    /// Waits for input that may be in transit when this many bytes have been read behind a request.
    async fn wait_for_further_input(&mut self, read_bytes: u64) -> io::Result<()> {
        if read_bytes <= MAX_BYTES_AT_ONCE {
            // The runtime asks the operating system for further input before the next turn.
            yield_now().await;
            return Ok(());
        }
        let next = timeout(TRANSIT_TIME, next_request_unless_closed(&mut self.stream)).await;
        if let Ok(Some(request)) = next {
            self.queue_request(request?).await;
        }
        Ok(())
    }

    /// Counts and parses a request whose last byte has just been read.
    pub(super) fn on_request_read(&mut self, request: DecodedRequest) -> ReceivedRequest {
        self.counts.requests_read += 1;
        self.shared.buffers.shrink(&mut self.stream);
        ReceivedRequest::new(self.shared, &self.memory, request)
    }

    /// Queues a request that was sent before the reply to an earlier one.
    pub(super) async fn queue_request(&mut self, request: DecodedRequest) {
        let received = self.on_request_read(request);
        if self.pipeline.push(received) == ReadAhead::Stop {
            self.stream.codec_mut().discard_input();
        }
        // Other tasks get their turn after each request, and the runtime asks the operating system
        // for closed connections.
        yield_now().await;
    }
}
