//! The connections of clients: one request at a time goes to the engine, and its reply back.

use super::pipelined_requests::{DecodedRequest, PipelinedRequests, ReceivedRequest};
use super::read_message::read_message;
use super::shared::Shared;
use crate::engine::{ClientId, Input};
use crate::protocol::http::{RequestError, Response, ServerCodec};
use crate::protocol::query::{parse_request, render_reply, Reply};
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
        reply: Box<Reply>,
        /// Close the connection after it.
        close: bool,
    },
    /// Close the connection, unless the engine is about to get a request from it.
    Close,
}

/// How a connection ended.
enum Ending {
    /// The client has closed it.
    Disconnected,
    /// This side closes it, after a response or before any.
    Closed { responded: bool },
}

/// What arrives on an idle connection.
enum NextRequest {
    Received(DecodedRequest),
    /// The client has closed the connection.
    Disconnected,
    /// The connection is to be closed: it is new and silent, or the engine has asked for it.
    Close,
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
        reply: Box<Reply>,
        close: bool,
    },
    /// The client has closed the connection.
    Disconnected,
    /// The driver is gone.
    Stopped,
}

/// Serves a client until either side ends the connection.
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
    let connected = Input::ClientConnected { client };
    let _ = shared.inputs.send(connected).await;
    let mut connection = ClientConnection {
        shared: &shared,
        client,
        framed,
        commands,
    };
    let ending = connection.serve_requests().await;
    // Nothing is sent to it any more; only its place is still taken.
    let disconnected = Input::ClientDisconnected { client };
    let _ = shared.inputs.send(disconnected).await;
    match ending {
        Ok(Ending::Closed { responded: true }) => connection.linger().await,
        Ok(_) => {}
        Err(error) => tracing::debug!(client, "client connection: {error}"),
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
}

impl ClientConnection<'_> {
    /// Serves one request after the other.
    async fn serve_requests(&mut self) -> io::Result<Ending> {
        let mut pipeline = PipelinedRequests::default();
        let mut opened = Some(Instant::now());
        let mut responded = false;
        let mut closing = false;
        loop {
            let received = match pipeline.pop() {
                Some(received) => received,
                None if closing => return Ok(Ending::Closed { responded }),
                None => match self.next_request(opened.take()).await? {
                    NextRequest::Received(request) => ReceivedRequest {
                        arrived: self.shared.clock.now(),
                        request,
                    },
                    NextRequest::Disconnected => return Ok(Ending::Disconnected),
                    NextRequest::Close => return Ok(Ending::Closed { responded }),
                },
            };
            let Some(keep_alive) = self.submit(received).await else {
                return Ok(Ending::Closed { responded });
            };
            let (reply, close) = match self.wait_for_reply(&mut pipeline).await? {
                ReplyWait::Reply { reply, close } => (reply, close),
                ReplyWait::Disconnected => return Ok(Ending::Disconnected),
                ReplyWait::Stopped => return Ok(Ending::Closed { responded }),
            };
            if close && !closing {
                // What has been read is served; what arrives from now on is not.
                closing = true;
                self.framed.codec_mut().discard_input();
            }
            let is_last = !keep_alive || closing && pipeline.is_empty();
            self.respond(render_reply(&reply, is_last)).await?;
            responded = true;
            if is_last {
                return Ok(Ending::Closed { responded });
            }
        }
    }

    /// Hands a request to the engine. Returns whether the connection may serve another one after
    /// it, or none if the engine is gone.
    async fn submit(&self, received: ReceivedRequest) -> Option<bool> {
        let ReceivedRequest { arrived, request } = received;
        let keep_alive = request.as_ref().is_ok_and(|request| request.keep_alive);
        let request = request.and_then(|request| parse_request(&request, &self.shared.names));
        // A client that sends invalid requests sends another as soon as it has its response: not
        // on this connection.
        let keep_alive = keep_alive && request.is_ok();
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
                    Some(ClientCommand::Close) => {}
                    None => return Ok(ReplyWait::Stopped),
                },
                next = self.framed.next() => match next {
                    Some(request) => {
                        if !pipeline.push(self.shared.clock.now(), request?) {
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
                    Err(_) if opened.is_some() => return Ok(NextRequest::Close),
                    // The socket was no longer readable: no request has begun.
                    Err(_) => begun = None,
                },
                command = self.commands.recv() => match command {
                    // A complete request that is here is served; half of one has no right to a
                    // place that others need.
                    Some(ClientCommand::Close) => {
                        let read = timeout(Duration::ZERO, self.framed.next()).await;
                        return read.map_or(Ok(NextRequest::Close), NextRequest::from_read);
                    }
                    // No request is waiting, so no reply is due.
                    Some(ClientCommand::Reply { .. }) => {}
                    None => return Ok(NextRequest::Close),
                },
            }
        }
    }

    /// Whether part of a request has been read.
    fn in_request(&self) -> bool {
        self.framed.codec().in_request() || !self.framed.read_buffer().is_empty()
    }

    async fn respond(&mut self, response: Response) -> io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.framed.send(response)).await {
            Ok(sent) => sent,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Shuts the writing side down and reads on until the client has closed its own. Closing with
    /// unread bytes, or while some are on their way, would reset the connection, and the reset can
    /// overtake the last response. What is read is discarded: the client sees that the end of the
    /// connection has crossed it.
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
