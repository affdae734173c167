//! The serving loop of a client's connection, which reads a request, hands it to the engine and
//! writes the reply.

use super::ending::{log_ending, CloseReason, Ending, ExchangeCounts};
use super::next_request::{next_request, NextRequest};
use super::peer_close::next_request_unless_closed;
use super::pipelined_requests::PipelinedRequests;
use super::read_ahead::ReadAheadEnd;
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
use std::ops::ControlFlow::{self, Break, Continue};
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// Maximum time to write a response. A client that does not read it in time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Outcome of handing a request to the engine.
enum Submission {
    /// The engine has the request and will reply.
    Accepted,
    /// The event loop has ended, and no part of the request was forwarded.
    Stopped,
}

/// A client's connection while it is served.
pub(super) struct ClientConnection<'a> {
    pub(super) shared: &'a Shared,
    client: ClientId,
    pub(super) stream: ClientStream,
    commands: mpsc::Receiver<ClientCommand>,
    /// Memory that is held for the requests of this connection.
    pub(super) memory: ConnectionMemory,
    /// Requests that were read before the replies to earlier ones.
    pub(super) pipeline: PipelinedRequests,
    /// Whether the connection is closed once the requests that were read are answered.
    is_closing: bool,
    pub(super) counts: ExchangeCounts,
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
            pipeline: PipelinedRequests::default(),
            is_closing: false,
            counts: ExchangeCounts::default(),
        }
    }

    /// Serves requests one after the other until the connection ends. Returns how it ended.
    pub(super) async fn serve_requests(&mut self) -> io::Result<Ending> {
        let ending = self.serve_until_end().await;
        // What is not answered any more must not delay a shutdown.
        self.pipeline = PipelinedRequests::default();
        ending
    }

    async fn serve_until_end(&mut self) -> io::Result<Ending> {
        let mut opened_at = Some(Instant::now());
        loop {
            let received = match self.next_received(opened_at.take()).await? {
                Continue(received) => received,
                Break(ending) => return Ok(ending),
            };
            if let Break(ending) = self.serve(received).await? {
                return Ok(ending);
            }
        }
    }

    /// Returns the next request, of those that were read already or from the socket. `opened_at` is
    /// the time at which the connection opened if no request has arrived yet.
    async fn next_received(
        &mut self,
        opened_at: Option<Instant>,
    ) -> io::Result<ControlFlow<Ending, ReceivedRequest>> {
        if let Some(received) = self.pipeline.pop() {
            return Ok(Continue(received));
        }
        if self.is_closing {
            return Ok(Break(Ending::Closed(CloseReason::LastResponse)));
        }
        let next = next_request(&mut self.stream, &mut self.commands, opened_at).await?;
        Ok(match next {
            NextRequest::Received(request) => Continue(self.on_request_read(request)),
            NextRequest::Disconnected => Break(Ending::Disconnected),
            NextRequest::Close(reason) => Break(Ending::Closed(reason)),
        })
    }

    /// Hands a request to the engine and writes the response.
    async fn serve(&mut self, mut received: ReceivedRequest) -> io::Result<ControlFlow<Ending>> {
        if received.is_query() {
            match self.read_ahead().await? {
                ReadAheadEnd::AllRead => {}
                ReadAheadEnd::Disconnected => return Ok(Break(Ending::Disconnected)),
                ReadAheadEnd::Endless => received.reject(RequestError::TOO_MANY_REQUESTS),
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
            return self.reject_at_exit().await.map(Break);
        }
        let (reply, close) = match self.wait_for_reply().await? {
            ReplyWait::Reply { reply, close } => (reply, close),
            ReplyWait::Disconnected => return Ok(Break(Ending::Disconnected)),
            ReplyWait::Stopped => return Ok(Break(Ending::Closed(CloseReason::Stopped))),
        };
        if close && !self.is_closing {
            // Requests that were read are still served; later input is discarded.
            self.is_closing = true;
            self.stream.codec_mut().discard_input();
        }
        let is_last = !keep_alive || self.is_closing && self.pipeline.is_empty();
        let response = Response {
            close: is_last,
            ..render_reply(&reply)
        };
        self.respond(response).await?;
        drop((memory, open_request));
        Ok(if is_last {
            Break(Ending::Closed(CloseReason::LastResponse))
        } else {
            Continue(())
        })
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
    async fn wait_for_reply(&mut self) -> io::Result<ReplyWait> {
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
                    Some(request) => self.queue_request(request?).await,
                    None => return Ok(ReplyWait::Disconnected),
                },
            }
        }
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
