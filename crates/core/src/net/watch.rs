//! The watch on discovery: one long answer. When to ask for it again is for the module to say.

use super::Shared;
use crate::engine::Input;
use crate::protocol::discovery;
use crate::protocol::http::{WatchCodec, WatchRequest};
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration};

/// A line comes every 2 s, empty if nothing has changed; well past that the watch is held to be
/// dead.
const SILENT: Duration = Duration::from_secs(3);
/// The agent is on this machine: what does not come up within this never will.
const CONNECT: Duration = Duration::from_millis(500);

/// One watch: its number, the version of the list that it goes on from, and how long its answer may
/// take.
pub struct Watch {
    pub number: u64,
    pub from: u64,
    pub answer_within: Duration,
}

/// Follows the list until the watch ends or falls silent.
pub async fn follow(shared: Shared, address: SocketAddr, watch: Watch) {
    let mut index = watch.from;
    if let Err(e) = open(&shared, address, &mut index, watch.answer_within).await {
        tracing::info!(%address, index, "watch on discovery ended: {e}");
    }
    let _ = shared
        .inputs
        .send(Input::WatchEnded {
            watch: watch.number,
        })
        .await;
}

async fn open(
    shared: &Shared,
    address: SocketAddr,
    index: &mut u64,
    answer_within: Duration,
) -> io::Result<()> {
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .map_err(|_| ErrorKind::TimedOut)??;
    let mut connection = shared
        .pool
        .frame::<WatchRequest, _, _>(stream, WatchCodec::default());
    let watched = read(shared, address, index, &mut connection, answer_within).await;
    shared.pool.recover(connection);
    watched
}

async fn read(
    shared: &Shared,
    address: SocketAddr,
    index: &mut u64,
    connection: &mut tokio_util::codec::Framed<TcpStream, WatchCodec>,
    answer_within: Duration,
) -> io::Result<()> {
    connection
        .send(WatchRequest {
            host: address.to_string(),
            from: *index,
        })
        .await?;
    let mut client_timeout = answer_within;
    loop {
        let message = match timeout(client_timeout, connection.next()).await {
            Ok(message) => message,
            // It has begun to answer: from there on it may be as silent as any.
            Err(_) if client_timeout < SILENT && connection.codec().has_begun() => {
                client_timeout = SILENT;
                continue;
            }
            Err(_) => return Err(ErrorKind::TimedOut.into()),
        };
        client_timeout = SILENT;
        let Some(message) = message else {
            return Err(ErrorKind::UnexpectedEof.into());
        };
        let listing = discovery::parse_message(&message?)
            .map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        if let Some(listing) = listing {
            let next = listing.index;
            let _ = shared.inputs.send(Input::EndpointsUpdated(listing)).await;
            *index = next;
        }
    }
}
