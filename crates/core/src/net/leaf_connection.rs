//! Connections to leaf servers, each with its own task.

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

/// Maximum time from the first byte of a frame to its last. Leaf servers send a result as one
/// packet: if part of it is missing, the rest never arrives, and everything in flight on the
/// connection would wait for it.
const FRAME_TIMEOUT: Duration = Duration::from_millis(100);

/// The driver's handle to a connection. Dropping it closes the connection.
pub(super) struct LeafConnectionHandle {
    frames: mpsc::Sender<LeafRequest>,
    task: AbortHandle,
}

impl LeafConnectionHandle {
    /// Queues a frame. The queue has capacity, since the engine hands over one frame at a time. If
    /// it were full, the connection would have to end, because no frame may be lost silently.
    pub(super) fn write(&self, frame: LeafRequest) {
        if self.frames.try_send(frame).is_err() && !self.is_closed() {
            tracing::error!("leaf connection closed: too many frames are queued");
            self.task.abort();
        }
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.task.is_finished()
    }
}

impl Drop for LeafConnectionHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Spawns a task that opens a connection, exchanges frames on it, and reports to the engine.
pub(super) fn open(
    shared: Shared,
    connection: ConnectionId,
    address: SocketAddr,
) -> LeafConnectionHandle {
    let (frames, queued_frames) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = run(&shared, connection, address, queued_frames).await {
            tracing::debug!(connection, %address, "leaf connection failed: {error}");
        }
        let connection_closed = Input::ConnectionClosed { connection };
        let _ = shared.inputs.send(connection_closed).await;
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
    let connection_opened = Input::ConnectionOpened { connection };
    let _ = shared.inputs.send(connection_opened).await;
    let result = exchange_frames(shared, connection, &mut framed, &mut queued_frames).await;
    shared.buffers.recover(framed);
    result
}

/// Writes the queued frames, and reports those that the leaf server sends, until either side closes
/// the connection.
async fn exchange_frames(
    shared: &Shared,
    connection: ConnectionId,
    framed: &mut Framed<TcpStream, LeafCodec>,
    queued_frames: &mut mpsc::Receiver<LeafRequest>,
) -> io::Result<()> {
    let mut began_at: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            queued = queued_frames.recv() => {
                let Some(frame) = queued else { return Ok(()) };
                framed.send(frame).await?;
                shared.buffers.shrink(framed);
                let _ = shared.inputs.send(Input::FrameWritten { connection }).await;
            }
            received = read_message(framed, &mut began_at, FRAME_TIMEOUT) => {
                let frame = match received? {
                    MessageRead::Received(frame) => frame,
                    MessageRead::EndOfStream => return Ok(()),
                    // The socket had nothing to read after all: no frame has begun.
                    MessageRead::TimedOut if framed.read_buffer().is_empty() => {
                        began_at = None;
                        continue;
                    }
                    MessageRead::TimedOut => {
                        let received = framed.read_buffer().clone();
                        framed.codec_mut().end_truncated_frame(&received)
                    }
                };
                shared.buffers.shrink(framed);
                let _ = shared.inputs.send(Input::FrameReceived { connection, frame }).await;
            }
        }
    }
}
