//! A watch on the endpoint list: one request to discovery, and a response that goes on until the
//! watch ends. When to start the next one is the policy's decision.

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

/// Discovery sends a line every 2 s, empty if nothing has changed. A watch without a line for this
/// long has failed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// The discovery agent runs on this machine: a connection that takes longer to open has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The task of one watch on the endpoint list.
pub(super) struct EndpointWatchTask {
    /// Its number, which the engine compares with that of its latest watch.
    pub(super) number: u64,
    /// The address of discovery.
    pub(super) address: SocketAddr,
    /// The version of the list to continue from; then the latest that has been received.
    pub(super) index: u64,
    /// How long the response may take to begin.
    pub(super) response_timeout: Duration,
}

impl EndpointWatchTask {
    /// Reports each update of the list to the engine, until the watch ends or times out.
    pub(super) async fn run(mut self, shared: Shared) {
        if let Err(error) = self.connect_and_follow(&shared).await {
            let (address, index) = (self.address, self.index);
            tracing::info!(%address, index, "watch on discovery ended: {error}");
        }
        let ended = Input::WatchEnded { watch: self.number };
        let _ = shared.inputs.send(ended).await;
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
            from: self.index,
        };
        connection.send(request).await?;
        let mut message_timeout = self.response_timeout;
        loop {
            let message = match timeout(message_timeout, connection.next()).await {
                Ok(message) => message,
                // The response has begun: from then on, only the heartbeat counts.
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
                let index = update.index;
                let _ = shared.inputs.send(Input::EndpointsUpdated(update)).await;
                self.index = index;
            }
        }
    }
}
