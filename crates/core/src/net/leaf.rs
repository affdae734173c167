//! Connections to leaf servers, one task each.

use super::{Shared, MOST_COMMANDS};
use crate::engine::{ConnectionId, Input};
use crate::protocol::leaf::{LeafCodec, LeafRequest};
use futures_util::SinkExt;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Duration;

/// A frame that has begun comes whole within this. Answers are a packet each: the rest of one that
/// was cut short never comes, and all that is out on the framed would wait for it.
const WHOLE_FRAME: Duration = Duration::from_millis(100);

/// A framed as the driver holds it; letting it go closes the framed.
pub struct Handle {
    frames: mpsc::Sender<LeafRequest>,
    task: AbortHandle,
}

impl Handle {
    /// The reducer hands over one frame at a time, so there is always room; were there none, the
    /// framed would have to end, since a frame must not be lost in silence.
    pub fn write(&self, frame: LeafRequest) {
        if self.frames.try_send(frame).is_err() && !self.is_over() {
            tracing::error!("a framed to a leaf server has too many frames waiting");
            self.task.abort();
        }
    }

    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub fn open(shared: Shared, connection: ConnectionId, address: SocketAddr) -> Handle {
    let (frames, receiver) = mpsc::channel(MOST_COMMANDS);
    let task = tokio::task::spawn_local(async move {
        if let Err(e) = speak(&shared, connection, address, receiver).await {
            tracing::debug!(connection, %address, "leaf framed: {e}");
        }
        let _ = shared
            .inputs
            .send(Input::ConnectionClosed { connection })
            .await;
    });
    Handle {
        frames,
        task: task.abort_handle(),
    }
}

async fn speak(
    shared: &Shared,
    connection: ConnectionId,
    address: SocketAddr,
    mut frames: mpsc::Receiver<LeafRequest>,
) -> io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut framed = shared
        .pool
        .frame::<LeafRequest, _, _>(stream, LeafCodec::default());
    let mut begun = None;
    let _ = shared
        .inputs
        .send(Input::ConnectionOpened { connection })
        .await;
    let ended = loop {
        tokio::select! {
            biased;
            frame = frames.recv() => {
                let Some(frame) = frame else { break Ok(()) };
                if let Err(e) = framed.send(frame).await {
                    break Err(e);
                }
                let _ = shared.inputs.send(Input::FrameWritten { connection }).await;
            }
            heard = super::message(&mut framed, &mut begun, WHOLE_FRAME) => {
                let frame = match heard {
                    Ok(Some(Ok(frame))) => frame,
                    Ok(Some(Err(e))) => break Err(e),
                    Ok(None) => break Ok(()),
                    // Readiness was out of date: nothing has begun.
                    Err(_) if framed.read_buffer().is_empty() => {
                        begun = None;
                        continue;
                    }
                    Err(_) => {
                        let held = framed.read_buffer().clone();
                        framed.codec_mut().cut_short(&held)
                    }
                };
                let _ = shared.inputs.send(Input::FrameReceived { connection, frame }).await;
            }
        }
    };
    shared.pool.recover(framed);
    ended
}
