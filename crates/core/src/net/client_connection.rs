//! The connections of clients: one request at a time goes to the engine, and its reply back.

use super::pipelined_requests::{DecodedRequest, PipelinedRequests, ReceivedRequest};
use super::read_message::read_message;
use super::shared::Shared;
use crate::api::Nanos;
use crate::engine::{ClientId, Input};
use crate::protocol::http::{RequestError, Response, ServerCodec};
use crate::protocol::query::{parse_request, render_reply, ClientRequest, QueryReply};
use futures_util::{SinkExt, StreamExt};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};
use tokio_util::codec::Framed;

/// A request that has begun is complete within this time, or its client is told that it took too
/// long. The first one begins with the connection, so a silent connection is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that does not read its response within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection that drains waits for the rest of a request, or for the first one, which
/// follows a new connection at once. Short enough to answer it before the process may be killed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// How long input is still read and discarded after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

const REQUEST_TOO_SLOW: RequestError = RequestError {
    status: 408,
    why: "the request took too long",
};

/// What the driver asks of a client's connection.
pub(super) enum ClientCommand {
    /// Send the reply to the request that the engine has.
    Reply {
        /// The reply.
        reply: Box<QueryReply>,
        /// Close the connection after it.
        close: bool,
    },
    /// Close the connection, unless the engine is about to get a request from it.
    Close,
    /// The same during a shutdown, when a request that is on its way is waited for.
    Drain,
}

/// How a connection ended.
#[derive(Debug)]
enum Ending {
    /// The client has closed it.
    Disconnected,
    /// This side closes it.
    Closed(CloseReason),
}

/// Why this side closes a connection.
#[derive(Clone, Copy, Debug)]
enum CloseReason {
    /// The engine has asked for it while no request was open.
    Requested,
    /// Its last response was sent: the client or the engine wanted no other request on it.
    LastResponse,
    /// It was new, and no request came.
    Silent,
    /// The event loop has ended.
    Stopped,
}

/// What arrives on an idle connection.
enum NextRequest {
    Received(DecodedRequest),
    /// The client has closed the connection.
    Disconnected,
    /// The connection is to be closed.
    Close(CloseReason),
}

impl NextRequest {
    fn from_read(read: Option<io::Result<DecodedRequest>>) -> io::Result<NextRequest> {
        Ok(read
            .transpose()?
            .map_or(NextRequest::Disconnected, NextRequest::Received))
    }
}

/// How the wait for a reply ends.
enum ReplyWait {
    Reply {
        reply: Box<QueryReply>,
        close: bool,
    },
    /// The client has closed the connection.
    Disconnected,
    /// The driver is gone.
    Stopped,
}

/// Serves a client, of which the engine knows, until either side ends the connection.
pub(super) async fn run(
    shared: Shared,
    client: ClientId,
    stream: TcpStream,
    commands: mpsc::Receiver<ClientCommand>,
) {
    // A response must not wait for more data to fill a packet.
    let _ = stream.set_nodelay(true);
    let framed = shared
        .buffers
        .frame::<Response, _, _>(stream, ServerCodec::default());
    let mut connection = ClientConnection {
        shared: &shared,
        client,
        framed,
        commands,
        requests_read: 0,
        responses_sent: 0,
    };
    let ending = connection.serve_requests().await;
    // Nothing is sent to it any more; only its place is still taken.
    let disconnected = Input::ClientDisconnected { client };
    let _ = shared.inputs.send(disconnected).await;
    connection.log_end(&ending);
    if let Ok(Ending::Closed(_)) = ending {
        connection.linger().await;
    }
    shared.buffers.recover(connection.framed);
    shared.clients.borrow_mut().remove(&client);
    shared.client_ended.notify_one();
}

struct ClientConnection<'a> {
    shared: &'a Shared,
    client: ClientId,
    framed: Framed<TcpStream, ServerCodec>,
    commands: mpsc::Receiver<ClientCommand>,
    requests_read: u64,
    responses_sent: u64,
}

impl ClientConnection<'_> {
    /// Serves one request after the other.
    async fn serve_requests(&mut self) -> io::Result<Ending> {
        let mut pipeline = PipelinedRequests::default();
        let mut opened = Some(Instant::now());
        let mut closing = false;
        loop {
            let received = match pipeline.pop() {
                Some(received) => received,
                None if closing => return Ok(Ending::Closed(CloseReason::LastResponse)),
                None => match self.next_request(opened.take()).await? {
                    NextRequest::Received(request) => self.received(request),
                    NextRequest::Disconnected => return Ok(Ending::Disconnected),
                    NextRequest::Close(reason) => return Ok(Ending::Closed(reason)),
                },
            };
            let ReceivedRequest {
                arrived,
                request,
                open,
            } = received;
            let Some(keep_alive) = self.submit(arrived, request).await else {
                self.respond(render_reply(&QueryReply::REJECTED_UNSEEN, true))
                    .await?;
                return Ok(Ending::Closed(CloseReason::Stopped));
            };
            let (reply, close) = match self.wait_for_reply(&mut pipeline).await? {
                ReplyWait::Reply { reply, close } => (reply, close),
                ReplyWait::Disconnected => return Ok(Ending::Disconnected),
                ReplyWait::Stopped => return Ok(Ending::Closed(CloseReason::Stopped)),
            };
            if close && !closing {
                // What has been read is served; what arrives from now on is not.
                closing = true;
                self.framed.codec_mut().discard_input();
            }
            let is_last = !keep_alive || closing && pipeline.is_empty();
            self.respond(render_reply(&reply, is_last)).await?;
            drop(open);
            if is_last {
                return Ok(Ending::Closed(CloseReason::LastResponse));
            }
        }
    }

    /// Notes a request whose last byte was read just now.
    fn received(&mut self, request: DecodedRequest) -> ReceivedRequest {
        self.requests_read += 1;
        ReceivedRequest {
            arrived: self.shared.clock.now(),
            request,
            open: self.shared.open_requests.open(),
        }
    }

    /// Logs how the connection has ended. A client that has gone is owed nothing, nor is one for
    /// what it has sent behind an invalid request.
    fn log_end(&self, ending: &io::Result<Ending>) {
        let client = self.client;
        let requests = self.requests_read;
        let responses = self.responses_sent;
        match ending {
            Ok(Ending::Closed(CloseReason::Stopped)) if requests > responses => tracing::error!(
                client,
                requests,
                responses,
                "client connection closed with a request unanswered"
            ),
            Ok(ending) => tracing::debug!(
                client,
                requests,
                responses,
                ?ending,
                "client connection ended"
            ),
            Err(error) => {
                tracing::debug!(client, requests, responses, "client connection: {error}")
            }
        }
    }

    /// Hands a request to the engine. Returns whether the connection may serve another one after
    /// it, or none if the engine is gone and nothing of the request was forwarded.
    async fn submit(&self, arrived: Nanos, request: DecodedRequest) -> Option<bool> {
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
            arrived,
            request,
        };
        let sent = self.shared.inputs.send(input).await;
        sent.is_ok().then_some(keep_alive)
    }

    /// Waits for the reply to the request that the engine has. Reading on meanwhile shows at once
    /// when the client disconnects; requests that arrive early wait, and their time runs.
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
                next = self.framed.next() => match next {
                    Some(request) => {
                        let received = self.received(request?);
                        if !pipeline.push(received) {
                            self.framed.codec_mut().discard_input();
                        }
                    }
                    None => return Ok(ReplyWait::Disconnected),
                },
            }
        }
    }

    /// Waits for the next request; on a connection that has just `opened`, no longer than for a
    /// complete request.
    async fn next_request(&mut self, opened: Option<Instant>) -> io::Result<NextRequest> {
        let mut begun = opened.or_else(|| self.in_request().then(Instant::now));
        loop {
            tokio::select! {
                biased;
                read = read_message(&mut self.framed, &mut begun, REQUEST_TIMEOUT) => match read {
                    Ok(read) => return NextRequest::from_read(read),
                    Err(_) if self.in_request() => {
                        self.framed.codec_mut().discard_input();
                        return Ok(NextRequest::Received(Err(REQUEST_TOO_SLOW)));
                    }
                    Err(_) if opened.is_some() => return Ok(NextRequest::Close(CloseReason::Silent)),
                    // The socket was no longer readable: no request has begun.
                    Err(_) => begun = None,
                },
                command = self.commands.recv() => match command {
                    // A complete request that is here is served; half of one has no right to a
                    // place that others need.
                    Some(ClientCommand::Close) => return self.last_request(Duration::ZERO).await,
                    Some(ClientCommand::Drain) => {
                        let is_expected = opened.is_some() || self.in_request();
                        let time_limit = if is_expected { DRAIN_TIMEOUT } else { Duration::ZERO };
                        return self.last_request(time_limit).await;
                    }
                    // No request is waiting, so no reply is due.
                    Some(ClientCommand::Reply { .. }) => {}
                    None => return Ok(NextRequest::Close(CloseReason::Stopped)),
                },
            }
        }
    }

    /// Reads one more request if it is complete within this time; the connection is closed else.
    async fn last_request(&mut self, time_limit: Duration) -> io::Result<NextRequest> {
        let read = timeout(time_limit, self.framed.next()).await;
        let close = NextRequest::Close(CloseReason::Requested);
        read.map_or(Ok(close), NextRequest::from_read)
    }

    /// Whether part of a request has been read.
    fn in_request(&self) -> bool {
        self.framed.codec().in_request() || !self.framed.read_buffer().is_empty()
    }

    async fn respond(&mut self, response: Response) -> io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.framed.send(response)).await {
            Ok(sent) => sent?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
        self.responses_sent += 1;
        Ok(())
    }

    /// Shuts the writing side down and reads on until the client has closed its own. Closing with
    /// unread bytes, or while some are on their way, would reset the connection, and the reset can
    /// overtake the last response. What is read is discarded: the client sees that the end of the
    /// connection has crossed it, also where it is the first request.
    async fn linger(&mut self) {
        self.framed.codec_mut().discard_input();
        let _ = self.framed.get_mut().shutdown().await;
        let discard = async { while let Some(Ok(_)) = self.framed.next().await {} };
        let lingering = &self.shared.lingering;
        lingering.set(lingering.get() + 1);
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, discard) => {}
            // A new connection needs its place.
            () = self.shared.capacity_needed.notified() => {}
        }
        lingering.set(lingering.get() - 1);
    }
}
