//! The connections of clients: one request at a time goes to the engine, and its reply back.
//!
//! A connection ends in four steps, also at a shutdown (see `net/mod.rs`): the last response is
//! written (`serving.rs`), the end is reported to the engine as `Input::ClientDisconnected` and
//! logged (`ending.rs`), and input is read and discarded until the client has closed its side
//! (`linger.rs`).

mod ending;
mod linger;
mod next_request;
mod pipelined_requests;
mod serving;

use super::client_command::ClientCommand;
use super::shared::Shared;
use crate::engine::{ClientId, Input};
use crate::protocol::http::{Response, ServerCodec};
use ending::Ending;
use linger::linger;
use serving::ClientConnection;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

/// A client's connection that is read as requests and written as responses.
type ClientStream = Framed<TcpStream, ServerCodec>;

/// Serves a client that was announced to the engine, until either side ends the connection.
pub(super) async fn run(
    shared: Shared,
    client: ClientId,
    stream: TcpStream,
    commands: mpsc::Receiver<ClientCommand>,
) {
    // A response must not wait for more data to fill a packet.
    let _ = stream.set_nodelay(true);
    let stream = shared
        .buffers
        .frame::<Response, _, _>(stream, ServerCodec::default());
    let mut connection = ClientConnection::new(&shared, client, stream, commands);
    let ending = connection.serve_requests().await;
    // From here on no command is sent to it; it only counts as a connection until it is removed.
    let disconnected = Input::ClientDisconnected { client };
    let _ = shared.inputs.send(disconnected).await;
    connection.log_end(&ending);
    if let Ok(Ending::Closed(_)) = ending {
        linger(&shared, &mut connection.stream).await;
    }
    shared.buffers.recover(connection.stream);
    shared.clients.remove(client);
}
