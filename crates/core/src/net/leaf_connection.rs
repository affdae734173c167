//! Connections to leaf servers, one task each.

use super::read_message::{read_message, MessageRead};
use super::shared::Shared;
use super::MAX_QUEUED_COMMANDS;
use crate::engine::{ConnectionId, Input};
use crate::protocol::leaf::{LeafCodec, LeafRequest};
use futures_util::SinkExt;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant};
use tokio_util::codec::Framed;

/// A frame that has begun must be complete within this time. Leaf servers send a result as one
/// packet: if part of it is missing, the rest never arrives, and everything that is in flight on
/// the connection would wait for it.
const FRAME_TIMEOUT: Duration = Duration::from_millis(100);

/// The driver's end of a connection; dropping it closes the connection.
pub(super) struct LeafConnectionHandle {
    frames: mpsc::Sender<LeafRequest>,
    task: AbortHandle,
}

impl LeafConnectionHandle {
    /// Queues a frame. The engine hands over one frame at a time, so the queue has capacity; if it
    /// had none the connection would have to end, since no frame may be lost silently.
    pub(super) fn write(&self, frame: LeafRequest) {
        if self.frames.try_send(frame).is_err() && !self.is_closed() {
            tracing::error!("too many frames are queued for a leaf server");
            self.task.abort();
        }
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.task.is_finished()
    }
}

impl Drop for LeafConnectionHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to open a connection; its task reports to the engine what happens on it.
pub(super) fn open(
    shared: Shared,
    connection: ConnectionId,
    address: SocketAddr,
) -> LeafConnectionHandle {
    let (frames, queued_frames) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = run(&shared, connection, address, queued_frames).await {
            tracing::debug!(connection, %address, "leaf connection: {error}");
        }
        let closed = Input::ConnectionClosed { connection };
        let _ = shared.inputs.send(closed).await;
    });
    LeafConnectionHandle {
        frames,
        task: task.abort_handle(),
    }
}

async fn run(
    shared: &Shared,
    connection: ConnectionId,
    address: SocketAddr,
    mut queued_frames: mpsc::Receiver<LeafRequest>,
) -> io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut framed = shared
        .buffers
        .frame::<LeafRequest, _, _>(stream, LeafCodec::default());
    let opened = Input::ConnectionOpened { connection };
    let _ = shared.inputs.send(opened).await;
    let result = exchange_frames(shared, connection, &mut framed, &mut queued_frames).await;
    shared.buffers.recover(framed);
    result
}

/// Writes what the engine queues, and reports what the leaf server sends, until either side closes.
async fn exchange_frames(
    shared: &Shared,
    connection: ConnectionId,
    framed: &mut Framed<TcpStream, LeafCodec>,
    queued_frames: &mut mpsc::Receiver<LeafRequest>,
) -> io::Result<()> {
    let mut begun: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            queued = queued_frames.recv() => {
                let Some(frame) = queued else { return Ok(()) };
                framed.send(frame).await?;
                let _ = shared.inputs.send(Input::FrameWritten { connection }).await;
            }
            received = read_message(framed, &mut begun, FRAME_TIMEOUT) => {
                let frame = match received? {
                    MessageRead::Received(frame) => frame,
                    MessageRead::EndOfStream => return Ok(()),
                    // The socket was no longer readable: no frame has begun.
                    MessageRead::TimedOut if framed.read_buffer().is_empty() => {
                        begun = None;
                        continue;
                    }
                    MessageRead::TimedOut => {
                        let received = framed.read_buffer().clone();
                        framed.codec_mut().cut_short(&received)
                    }
                };
                let _ = shared.inputs.send(Input::FrameReceived { connection, frame }).await;
            }
        }
    }
}
