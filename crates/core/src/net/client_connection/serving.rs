//! The serving loop of a client's connection, which reads a request, hands it to the engine and
//! writes the reply.

use super::ending::{log_ending, CloseReason, Ending, ExchangeCounts};
use super::next_request::{next_request, NextRequest};
use super::peer_close::{next_arrival, next_request_unless_closed, Arrival, DecodedRequest};
use super::pipelined_requests::{PipelinedRequests, ReadAhead};
use super::received_request::ReceivedRequest;
use super::ClientStream;
use crate::api::Nanos;
use crate::engine::{ClientId, Input};
use crate::memory::ConnectionMemory;
use crate::net::client_command::ClientCommand;
use crate::net::shared::Shared;
use crate::protocol::http::{RequestError, Response};
use crate::protocol::query::{render_reply, ClientRequest, QueryReply};
use futures_util::SinkExt;
use std::io;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Duration, Instant};

/// Maximum time to write a response. A client that does not read it in time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which the input behind a request is read before the request is forwarded. A
/// client that sends without a pause for longer gets status 429.
const READ_AHEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of bytes behind a request that arrive at once. Of more input, the client's operating
/// system holds back a part until earlier input is read.
const MAX_BYTES_AT_ONCE: u64 = 64 * 1024;
/// Time within which input that was held back arrives, even if it has to be sent again.
const TRANSIT_TIME: Duration = Duration::from_millis(250);

/// Outcome of the wait for a reply.
enum ReplyWait {
    Reply {
        reply: Box<QueryReply>,
        close: bool,
    },
    /// The client has closed the connection.
    Disconnected,
    /// The event loop has ended.
    Stopped,
}

/// Outcome of reading the input behind a request.
enum ReadAheadEnd {
    /// Everything that has arrived is read.
    AllRead,
    /// The client has closed the connection.
    Disconnected,
}

/// Outcome of handing a request to the engine.
enum Submission {
    /// The engine has the request and will reply.
    Accepted,
    /// The event loop has ended, and no part of the request was forwarded.
    Stopped,
}

/// A client's connection while it is served.
pub(super) struct ClientConnection<'a> {
    shared: &'a Shared,
    client: ClientId,
    pub(super) stream: ClientStream,
    commands: mpsc::Receiver<ClientCommand>,
    /// Memory that is held for the requests of this connection.
    memory: ConnectionMemory,
    counts: ExchangeCounts,
}

impl<'a> ClientConnection<'a> {
    /// Creates the state of a connection that has just opened.
    pub(super) fn new(
        shared: &'a Shared,
        client: ClientId,
        stream: ClientStream,
        commands: mpsc::Receiver<ClientCommand>,
        memory: ConnectionMemory,
    ) -> ClientConnection<'a> {
        ClientConnection {
            shared,
            client,
            stream,
            commands,
            memory,
            counts: ExchangeCounts::default(),
        }
    }

    /// Serves requests one after the other until the connection ends. Returns how it ended.
    pub(super) async fn serve_requests(&mut self) -> io::Result<Ending> {
        let mut pipeline = PipelinedRequests::default();
        let mut opened_at = Some(Instant::now());
        let mut is_closing = false;
        loop {
            let mut received = match pipeline.pop() {
                Some(received) => received,
                None if is_closing => return Ok(Ending::Closed(CloseReason::LastResponse)),
                None => match self.next_request(opened_at.take()).await? {
                    NextRequest::Received(request) => self.on_request_read(request),
                    NextRequest::Disconnected => return Ok(Ending::Disconnected),
                    NextRequest::Close(reason) => return Ok(Ending::Closed(reason)),
                },
            };
            if received.is_query() {
                match timeout(READ_AHEAD_TIMEOUT, self.read_ahead(&mut pipeline)).await {
                    Ok(Ok(ReadAheadEnd::AllRead)) => {}
                    Ok(Ok(ReadAheadEnd::Disconnected)) => return Ok(Ending::Disconnected),
                    Ok(Err(error)) => return Err(error),
                    Err(_) => received.reject(RequestError::TOO_MANY_REQUESTS),
                }
            }
            let ReceivedRequest {
                arrived_at,
                request,
                keep_alive,
                memory,
                open_request,
            } = received;
            if let Submission::Stopped = self.submit(arrived_at, request).await {
                return self.reject_at_exit().await;
            }
            let (reply, close) = match self.wait_for_reply(&mut pipeline).await? {
                ReplyWait::Reply { reply, close } => (reply, close),
                ReplyWait::Disconnected => return Ok(Ending::Disconnected),
                ReplyWait::Stopped => return Ok(Ending::Closed(CloseReason::Stopped)),
            };
            if close && !is_closing {
                // Requests that were read are still served; later input is discarded.
                is_closing = true;
                self.stream.codec_mut().discard_input();
            }
            let is_last = !keep_alive || is_closing && pipeline.is_empty();
            let response = Response {
                close: is_last,
                ..render_reply(&reply)
            };
            self.respond(response).await?;
            drop((memory, open_request));
            if is_last {
                return Ok(Ending::Closed(CloseReason::LastResponse));
            }
        }
    }

    async fn next_request(&mut self, opened_at: Option<Instant>) -> io::Result<NextRequest> {
        next_request(&mut self.stream, &mut self.commands, opened_at).await
    }

    /// Counts and parses a request whose last byte has just been read.
    fn on_request_read(&mut self, request: DecodedRequest) -> ReceivedRequest {
        self.counts.requests_read += 1;
        self.shared.buffers.shrink(&mut self.stream);
        ReceivedRequest::new(self.shared, &self.memory, request)
    }

    /// Hands a request to the engine.
    async fn submit(
        &self,
        arrived_at: Nanos,
        request: Result<ClientRequest, RequestError>,
    ) -> Submission {
        if let Ok(ClientRequest::Query(query)) = &request {
            tracing::debug!(client = self.client, name = query.name, "request read");
        }
        let input = Input::RequestReceived {
            client: self.client,
            arrived_at,
            request,
        };
        match self.shared.inputs.send(input).await {
            Ok(()) => Submission::Accepted,
            Err(_) => Submission::Stopped,
        }
    }

    /// Waits for the reply to the open request. Input is read while waiting, so that the end of
    /// the connection is noticed at once. Requests that arrive early are queued with their times of
    /// arrival, from which their timeouts run.
    async fn wait_for_reply(&mut self, pipeline: &mut PipelinedRequests) -> io::Result<ReplyWait> {
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(ClientCommand::Reply { reply, close }) => {
                        return Ok(ReplyWait::Reply { reply, close });
                    }
                    // This command has crossed the request, which is still served. Its reply
                    // closes the connection.
                    Some(ClientCommand::Close | ClientCommand::Drain) => {}
                    None => return Ok(ReplyWait::Stopped),
                },
                next = next_request_unless_closed(&mut self.stream) => match next {
                    Some(request) => self.queue_request(request?, pipeline).await,
                    None => return Ok(ReplyWait::Disconnected),
                },
            }
        }
    }

    /// Reads everything that has arrived behind a request, so that the end of the connection is
    /// noticed before the request is forwarded.
    async fn read_ahead(&mut self, pipeline: &mut PipelinedRequests) -> io::Result<ReadAheadEnd> {
        let first_byte = self.stream.codec().consumed_bytes();
        let mut read_before = 0;
        loop {
            match next_arrival(&mut self.stream).await? {
                Arrival::Request(request) => self.queue_request(request, pipeline).await,
                Arrival::Closed => return Ok(ReadAheadEnd::Disconnected),
                Arrival::Nothing => {
                    let read = self.stream.codec().consumed_bytes() - first_byte;
                    if read == read_before {
                        return Ok(ReadAheadEnd::AllRead);
                    }
                    read_before = read;
                    wait_for_further_input(read).await;
                }
            }
        }
    }

    /// Queues a request that was sent before the reply to an earlier one.
    async fn queue_request(&mut self, request: DecodedRequest, pipeline: &mut PipelinedRequests) {
        let received = self.on_request_read(request);
        if pipeline.push(received) == ReadAhead::Stop {
            self.stream.codec_mut().discard_input();
        }
        // Other tasks get their turn after each request, and the runtime asks the operating system
        // for closed connections.
        yield_now().await;
    }

    /// Rejects a request that the engine could not accept any more, and ends the connection.
    async fn reject_at_exit(&mut self) -> io::Result<Ending> {
        let response = Response {
            close: true,
            ..render_reply(&QueryReply::REJECTED_AT_EXIT)
        };
        self.respond(response).await?;
        Ok(Ending::Closed(CloseReason::Stopped))
    }

    async fn respond(&mut self, response: Response) -> io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.stream.send(response)).await {
            Ok(sent) => sent?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
        self.counts.responses_sent += 1;
        self.shared.buffers.shrink(&mut self.stream);
        Ok(())
    }

    /// Logs the end of the connection.
    pub(super) fn log_end(&self, ending: &io::Result<Ending>) {
        log_ending(self.client, self.counts, ending);
    }
}

/// Waits for input that may be in transit when this many bytes have been read behind a request.
async fn wait_for_further_input(read_bytes: u64) {
    if read_bytes > MAX_BYTES_AT_ONCE {
        sleep(TRANSIT_TIME).await;
    } else {
        // The runtime asks the operating system for further input before the next turn.
        yield_now().await;
    }
}
