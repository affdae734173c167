//! Client connections. Each hands over one request at a time to the engine and sends the reply.
//!
//! A connection ends in the same four steps at any time, including a shutdown (see `net/mod.rs`):
//! the last response is written (`serving.rs`), the end is reported to the engine as
//! `Input::ClientDisconnected`, the end is logged (`ending.rs`), and input is read and discarded
//! until the client has closed its side (`linger.rs`).

mod ending;
mod linger;
mod next_request;
mod peer_close;
mod pipelined_requests;
mod read_ahead;
mod received_request;
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

/// A client's connection, from which requests are decoded and to which responses are encoded.
type ClientStream = Framed<TcpStream, ServerCodec>;

/// Serves a client that was announced to the engine, until either side closes the connection.
pub(super) async fn run(
    shared: Shared,
    client: ClientId,
    stream: TcpStream,
    commands: mpsc::Receiver<ClientCommand>,
) {
    // A response must not wait for more data to fill a packet.
    let _ = stream.set_nodelay(true);
    let memory = shared.client_memory.open_account();
    let stream = shared
        .buffers
        .frame::<Response, _, _>(stream, ServerCodec::new(&memory));
    let mut connection = ClientConnection::new(&shared, client, stream, commands, memory);
    let ending = connection.serve_requests().await;
    // From here on, the engine sends this client no commands. The connection still counts towards
    // the maximum until it is removed from the registry.
    let client_disconnected = Input::ClientDisconnected { client };
    let _ = shared.inputs.send(client_disconnected).await;
    connection.log_end(&ending);
    if let Ok(Ending::Closed(_)) = ending {
        linger(&shared, &mut connection.stream).await;
    }
    shared.buffers.recover(connection.stream);
    shared.clients.remove(client);
}
