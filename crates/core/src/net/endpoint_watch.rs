//! A watch on the endpoint list: one request to the discovery agent, and a response that carries
//! updates until the watch ends. The policy decides when to start the next watch.

use super::shared::Shared;
use crate::engine::Input;
use crate::protocol::discovery;
use crate::protocol::http::{WatchCodec, WatchRequest};
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration};
use tokio_util::codec::Framed;

/// Time without a line of the response after which a watch has failed. The discovery agent sends a
/// line every 2 s, which is empty if nothing has changed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to connect to the discovery agent, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The task of one watch on the endpoint list.
pub(super) struct EndpointWatchTask {
    /// Number of the watch, which the engine compares with that of its latest watch.
    pub(super) number: u64,
    /// Address of the discovery agent.
    pub(super) address: SocketAddr,
    /// Version of the list to continue from, then the latest version received.
    pub(super) version: u64,
    /// Maximum time until the response begins. If it is longer than [`HEARTBEAT_TIMEOUT`], it is
    /// also the maximum time until the first line of the response.
    pub(super) response_timeout: Duration,
}

impl EndpointWatchTask {
    /// Reports each update of the list to the engine, until the watch ends or times out.
    pub(super) async fn run(mut self, shared: Shared) {
        if let Err(error) = self.connect_and_follow(&shared).await {
            let (address, index) = (self.address, self.version);
            tracing::info!(%address, index, "watch on discovery ended: {error}");
        }
        let watch_ended = Input::WatchEnded { watch: self.number };
        let _ = shared.inputs.send(watch_ended).await;
    }

    async fn connect_and_follow(&mut self, shared: &Shared) -> io::Result<()> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| ErrorKind::TimedOut)??;
        let mut connection = shared
            .buffers
            .frame::<WatchRequest, _, _>(stream, WatchCodec::default());
        let result = self.follow(shared, &mut connection).await;
        shared.buffers.recover(connection);
        result
    }

    async fn follow(
        &mut self,
        shared: &Shared,
        connection: &mut Framed<TcpStream, WatchCodec>,
    ) -> io::Result<()> {
        let request = WatchRequest {
            host: self.address.to_string(),
            from: self.version,
        };
        connection.send(request).await?;
        let mut message_timeout = self.response_timeout;
        loop {
            let message = match timeout(message_timeout, connection.next()).await {
                Ok(message) => message,
                // The response has begun: from now on, the heartbeat timeout applies.
                Err(_) if message_timeout < HEARTBEAT_TIMEOUT && connection.codec().has_begun() => {
                    message_timeout = HEARTBEAT_TIMEOUT;
                    continue;
                }
                Err(_) => return Err(ErrorKind::TimedOut.into()),
            };
            message_timeout = HEARTBEAT_TIMEOUT;
            let message = message.ok_or(ErrorKind::UnexpectedEof)??;
            let update = discovery::parse_message(&message)
                .map_err(|error| io::Error::new(ErrorKind::InvalidData, error))?;
            if let Some(update) = update {
                let version = update.index;
                let _ = shared.inputs.send(Input::EndpointsUpdated(update)).await;
                self.version = version;
            }
        }
    }
}
