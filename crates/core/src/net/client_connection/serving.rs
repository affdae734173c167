//! The serving loop of a client's connection: reads a request, hands it to the engine and writes
//! the reply.

use super::ending::{log_ending, CloseReason, Ending, ExchangeCounts};
use super::next_request::{next_request, NextRequest};
use super::pipelined_requests::{DecodedRequest, PipelinedRequests, ReadAhead, ReceivedRequest};
use super::ClientStream;
use crate::api::Nanos;
use crate::engine::{ClientId, Input};
use crate::net::client_command::ClientCommand;
use crate::net::shared::Shared;
use crate::protocol::http::Response;
use crate::protocol::query::{parse_request, render_reply, ClientRequest, QueryReply};
use futures_util::{SinkExt, StreamExt};
use std::io;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// A client that does not read its response within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How the wait for a reply ends.
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

/// What became of a request that was handed to the engine.
enum Submission {
    /// The engine gets it and will reply.
    Accepted {
        /// The connection may serve another request after it.
        keep_alive: bool,
    },
    /// The event loop has ended. Nothing of the request was forwarded.
    Stopped,
}

/// A connection that is served.
pub(super) struct ClientConnection<'a> {
    shared: &'a Shared,
    client: ClientId,
    pub(super) stream: ClientStream,
    commands: mpsc::Receiver<ClientCommand>,
    counts: ExchangeCounts,
}

impl<'a> ClientConnection<'a> {
    /// A connection that has just opened.
    pub(super) fn new(
        shared: &'a Shared,
        client: ClientId,
        stream: ClientStream,
        commands: mpsc::Receiver<ClientCommand>,
    ) -> ClientConnection<'a> {
        ClientConnection {
            shared,
            client,
            stream,
            commands,
            counts: ExchangeCounts::default(),
        }
    }

    /// Serves one request after the other.
    pub(super) async fn serve_requests(&mut self) -> io::Result<Ending> {
        let mut pipeline = PipelinedRequests::default();
        let mut opened = Some(Instant::now());
        let mut is_closing = false;
        loop {
            let received = match pipeline.pop() {
                Some(received) => received,
                None if is_closing => return Ok(Ending::Closed(CloseReason::LastResponse)),
                None => match self.next_request(opened.take()).await? {
                    NextRequest::Received(request) => self.on_request_read(request),
                    NextRequest::Disconnected => return Ok(Ending::Disconnected),
                    NextRequest::Close(reason) => return Ok(Ending::Closed(reason)),
                },
            };
            let ReceivedRequest {
                arrived,
                request,
                open,
            } = received;
            let keep_alive = match self.submit(arrived, request).await {
                Submission::Accepted { keep_alive } => keep_alive,
                Submission::Stopped => return self.reject_at_exit().await,
            };
            let (reply, close) = match self.wait_for_reply(&mut pipeline).await? {
                ReplyWait::Reply { reply, close } => (reply, close),
                ReplyWait::Disconnected => return Ok(Ending::Disconnected),
                ReplyWait::Stopped => return Ok(Ending::Closed(CloseReason::Stopped)),
            };
            if close && !is_closing {
                // What has been read is served; what arrives from now on is not.
                is_closing = true;
                self.stream.codec_mut().discard_input();
            }
            let is_last = !keep_alive || is_closing && pipeline.is_empty();
            let response = Response {
                close: is_last,
                ..render_reply(&reply)
            };
            self.respond(response).await?;
            drop(open);
            if is_last {
                return Ok(Ending::Closed(CloseReason::LastResponse));
            }
        }
    }

    async fn next_request(&mut self, opened: Option<Instant>) -> io::Result<NextRequest> {
        next_request(&mut self.stream, &mut self.commands, opened).await
    }

    /// Counts a request whose last byte was read just now.
    fn on_request_read(&mut self, request: DecodedRequest) -> ReceivedRequest {
        self.counts.requests_read += 1;
        ReceivedRequest {
            arrived: self.shared.clock.now(),
            request,
            open: self.shared.open_requests.open(),
        }
    }

    /// Hands a request to the engine.
    async fn submit(&self, arrived: Nanos, request: DecodedRequest) -> Submission {
        let keep_alive = request.as_ref().is_ok_and(|request| request.keep_alive);
        let request = request.and_then(|request| parse_request(&request, &self.shared.names));
        // A client that sends invalid requests sends another as soon as it has its response: not
        // on this connection.
        let keep_alive = keep_alive && request.is_ok();
        if let Ok(ClientRequest::Query(query)) = &request {
            tracing::debug!(client = self.client, name = query.name, "request read");
        }
        let input = Input::RequestReceived {
            client: self.client,
            arrived_at: arrived,
            request,
        };
        match self.shared.inputs.send(input).await {
            Ok(()) => Submission::Accepted { keep_alive },
            Err(_) => Submission::Stopped,
        }
    }

    /// Waits for the reply to the request that the engine has. Reading on meanwhile shows at once
    /// when the client disconnects. Requests that arrive early are queued, and the time of their
    /// arrival counts.
    async fn wait_for_reply(&mut self, pipeline: &mut PipelinedRequests) -> io::Result<ReplyWait> {
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(ClientCommand::Reply { reply, close }) => {
                        return Ok(ReplyWait::Reply { reply, close });
                    }
                    // The request has crossed this command and is served; its reply will close.
                    Some(ClientCommand::Close | ClientCommand::Drain) => {}
                    None => return Ok(ReplyWait::Stopped),
                },
                next = self.stream.next() => match next {
                    Some(request) => {
                        let received = self.on_request_read(request?);
                        if pipeline.push(received) == ReadAhead::Stop {
                            self.stream.codec_mut().discard_input();
                        }
                    }
                    None => return Ok(ReplyWait::Disconnected),
                },
            }
        }
    }

    /// Rejects a request that the engine did not get, as the last on the connection.
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
        Ok(())
    }

    /// Logs how the connection has ended.
    pub(super) fn log_end(&self, ending: &io::Result<Ending>) {
        log_ending(self.client, self.counts, ending);
    }
}
