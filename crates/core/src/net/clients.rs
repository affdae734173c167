//! The listener and the clients' connections.

use super::{Shared, MOST_COMMANDS};
use crate::engine::{ClientId, Input};
use crate::protocol::http::{Request, RequestError, Response, ServerCodec, MAX_BODY_BYTES};
use crate::protocol::query::{self, Reply};
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::collections::VecDeque;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};
use tokio_util::codec::Framed;

pub enum Command {
    Reply(Box<Reply>, bool),
    Close,
}

/// A request that has begun is whole within this, or its client is told that it took too long; the
/// first one on a connection begins with the connection, so one that says nothing is closed.
const WHOLE_REQUEST: Duration = Duration::from_secs(2);
/// A client reads its answer within this, or its connection is given up.
const SLOW_READER: Duration = Duration::from_secs(5);
/// How long bytes are still read and thrown away after the last answer.
const LINGER: Duration = Duration::from_secs(1);
/// After a failed accept (no descriptors left) before the next.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Connections above the most at which no more is accepted: so many are being closed to make room.
/// Were there no end to it, a flood would take the descriptors that connections to leaf servers
/// need.
const MOST_CLOSING: usize = 16;

/// Requests that a client may send ahead of its answers, and the bytes of their bodies.
const MOST_AHEAD: usize = 256;
const MOST_AHEAD_BYTES: usize = MAX_BODY_BYTES;

/// Accepts until no more connections are to be taken, and then what waits to be accepted: a
/// listener that closes resets it.
pub async fn listen(shared: Shared, listener: TcpListener, most: usize) {
    let mut stopped = shared.stopped.subscribe();
    let accepting = async {
        loop {
            let full = shared.clients.borrow().len() >= most;
            if full && shared.lingering.get() > 0 {
                shared.room_needed.notify_one();
            }
            while shared.clients.borrow().len() >= most + MOST_CLOSING {
                shared.client_ended.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => take(&shared, stream),
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    };
    tokio::select! {
        () = accepting => {}
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        take(&shared, stream);
    }
}

fn take(shared: &Shared, stream: TcpStream) {
    let client = shared.client();
    let (commands, receiver) = mpsc::channel(MOST_COMMANDS);
    shared.clients.borrow_mut().insert(client, commands);
    tokio::task::spawn_local(attend(shared.clone(), client, stream, receiver));
}

type Connection = Framed<TcpStream, ServerCodec>;
type Incoming = Result<Request, RequestError>;

/// Who ends a connection.
enum End {
    /// The client has closed it.
    Left,
    /// We do, with no answer under way or not.
    Closed { answered: bool },
}

async fn attend(
    shared: Shared,
    client: ClientId,
    stream: TcpStream,
    mut commands: mpsc::Receiver<Command>,
) {
    // A reply must not wait for more to fill a packet.
    let _ = stream.set_nodelay(true);
    let mut connection = shared
        .pool
        .frame::<Response, _, _>(stream, ServerCodec::default());
    let _ = shared.inputs.send(Input::ClientConnected { client }).await;
    let ended = converse(&shared, client, &mut connection, &mut commands).await;
    // Nothing goes out for it any more; only its place is still taken.
    let _ = shared
        .inputs
        .send(Input::ClientDisconnected { client })
        .await;
    match ended {
        Ok(End::Closed { answered: true }) => linger(&shared, &mut connection).await,
        Ok(_) => {}
        Err(e) => tracing::debug!(client, "client connection: {e}"),
    }
    shared.pool.recover(connection);
    shared.clients.borrow_mut().remove(&client);
    shared.client_ended.notify_one();
}

/// One request at a time until either side has had enough.
async fn converse(
    shared: &Shared,
    client: ClientId,
    connection: &mut Connection,
    commands: &mut mpsc::Receiver<Command>,
) -> io::Result<End> {
    let (mut ahead, mut ahead_bytes) = (VecDeque::new(), 0);
    let mut begun = Some(Instant::now());
    let (mut answered, mut closing) = (false, false);
    loop {
        let (arrived, incoming) = match ahead.pop_front() {
            Some(next) => next,
            None if closing => return Ok(End::Closed { answered }),
            None => match next_request(connection, commands, begun.take()).await? {
                Next::Request(incoming) => (shared.clock.now(), incoming),
                Next::Left => return Ok(End::Left),
                Next::Close => return Ok(End::Closed { answered }),
            },
        };
        ahead_bytes -= incoming
            .as_ref()
            .map_or(0, |request: &Request| request.body.len())
            .min(ahead_bytes);
        let keep = incoming.as_ref().is_ok_and(|request| request.keep_alive);
        let asked = incoming.and_then(|request| query::parse_request(&request, &shared.names));
        // Who sends what can't be used does so again as soon as it is told: not on this connection.
        let keep = keep && asked.is_ok();
        if shared
            .inputs
            .send(Input::RequestReceived {
                client,
                arrived,
                request: asked,
            })
            .await
            .is_err()
        {
            return Ok(End::Closed { answered });
        }
        let (reply, close) = loop {
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Reply(reply, close)) => break (reply, close),
                    // Crossed by this request, which is taken now; its reply will close.
                    Some(Command::Close) => {}
                    None => return Ok(End::Closed { answered }),
                },
                // Reading on shows at once when the client leaves; requests sent early wait their
                // turn, and their time runs.
                next = connection.next() => match next {
                    Some(next) => {
                        let next: Incoming = next?;
                        ahead_bytes += next.as_ref().map_or(0, |request| request.body.len());
                        if next.is_ok() && (ahead.len() >= MOST_AHEAD || ahead_bytes > MOST_AHEAD_BYTES) {
                            connection.codec_mut().discard_input();
                            let why = "too many requests ahead of their answers";
                            ahead.push_back((shared.clock.now(), Err(RequestError { status: 429, why })));
                        } else {
                            ahead.push_back((shared.clock.now(), next));
                        }
                    }
                    None => return Ok(End::Left),
                },
            }
        };
        if close && !closing {
            // What was read is answered; what comes from now on is not ours to take.
            closing = true;
            connection.codec_mut().discard_input();
        }
        let last = !keep || closing && ahead.is_empty();
        respond(connection, query::render_reply(&reply, last)).await?;
        answered = true;
        if last {
            return Ok(End::Closed { answered });
        }
    }
}

/// Ends our side and reads on until the client has ended its own. Closing on unread bytes, or on
/// such as are still on their way, would reset the connection, and the reset can overtake the last
/// answer. What is read now is thrown away: the client sees that the end has crossed it.
async fn linger(shared: &Shared, connection: &mut Connection) {
    connection.codec_mut().discard_input();
    let _ = connection.get_mut().shutdown().await;
    let rest = async { while let Some(Ok(_)) = connection.next().await {} };
    shared.lingering.set(shared.lingering.get() + 1);
    tokio::select! {
        _ = timeout(LINGER, rest) => {}
        // Its place is needed.
        () = shared.room_needed.notified() => {}
    }
    shared.lingering.set(shared.lingering.get() - 1);
}

async fn respond(connection: &mut Connection, response: Response) -> io::Result<()> {
    match timeout(SLOW_READER, connection.send(response)).await {
        Ok(sent) => sent,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Part of a request has been read.
fn in_request(connection: &Connection) -> bool {
    connection.codec().in_request() || !connection.read_buffer().is_empty()
}

/// What comes on a connection that rests.
enum Next {
    Request(Incoming),
    /// The client has closed.
    Left,
    /// It says nothing on a new connection, or the connection is to end between requests.
    Close,
}

impl Next {
    fn read(incoming: Option<io::Result<Incoming>>) -> io::Result<Next> {
        Ok(incoming.transpose()?.map_or(Next::Left, Next::Request))
    }
}

/// Waits for the next request, on a connection that has just `opened` for no longer than for a
/// whole one.
async fn next_request(
    connection: &mut Connection,
    commands: &mut mpsc::Receiver<Command>,
    opened: Option<Instant>,
) -> io::Result<Next> {
    let mut begun = opened.or_else(|| in_request(connection).then(Instant::now));
    loop {
        tokio::select! {
            biased;
            next = super::message(connection, &mut begun, WHOLE_REQUEST) => match next {
                Ok(next) => return Next::read(next),
                Err(_) if in_request(connection) => {
                    connection.codec_mut().discard_input();
                    let late = RequestError { status: 408, why: "the request took too long" };
                    return Ok(Next::Request(Err(late)));
                }
                Err(_) if opened.is_some() => return Ok(Next::Close),
                // Readiness was out of date: nothing has begun.
                Err(_) => begun = None,
            },
            command = commands.recv() => match command {
                // A request that is here whole is taken; half of one has no right to a place that
                // others need.
                Some(Command::Close) => {
                    let complete = timeout(Duration::ZERO, connection.next()).await;
                    return complete.map_or(Ok(Next::Close), Next::read);
                }
                // No request is waiting, so no reply is due.
                Some(Command::Reply(..)) => {}
                None => return Ok(Next::Close),
            },
        }
    }
}
