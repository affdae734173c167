//! Connections of a leaf server, and the processing of parts.

use super::expected_answer;
use super::frame::{self, FrameKind, LeafFrame, ReceivedPart};
use crate::random;
use rand::rngs::StdRng;
use rand::Rng;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

/// Maximum number of frames queued for writing on one connection.
const MAX_PENDING_FRAMES: usize = 1024;
/// Range of a part's service time, as factors of the configured mean.
const SERVICE_TIME_FACTOR: Range<f64> = 0.5..1.5;

/// Speed and capacity of a leaf server.
#[derive(Clone, Copy, Debug)]
pub struct LeafOptions {
    /// Mean service time of a part; service times are uniform between 0.5 and 1.5 times the mean.
    pub service_time: Duration,
    /// Maximum number of parts in flight; further parts are rejected as `busy`.
    pub capacity: usize,
}

/// Leaf server that runs until it is dropped. Dropping it also ends its connections, like those of
/// a killed process.
pub struct LeafServer {
    /// Address at which the server listens.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for LeafServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LeafServer {
    /// Starts a leaf server on a free port of `ip`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn start(ip: IpAddr, options: LeafOptions, seed: u64) -> io::Result<LeafServer> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, options, seed)).abort_handle();
        Ok(LeafServer { address, task })
    }
}

async fn accept(listener: TcpListener, options: LeafOptions, seed: u64) {
    let in_flight = Arc::<AtomicUsize>::default();
    // Dropped with this task, so that no connection outlives the server.
    let mut connections = JoinSet::new();
    for connection_number in 0u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let random = random::stream(seed, connection_number);
        connections.spawn(serve(stream, options, random, in_flight.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(
    stream: TcpStream,
    options: LeafOptions,
    random: StdRng,
    in_flight: Arc<AtomicUsize>,
) {
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let (frames, pending_frames) = mpsc::channel::<Vec<u8>>(MAX_PENDING_FRAMES);
    let mut tasks = JoinSet::new();
    tasks.spawn(write_frames(writer, pending_frames));
    let mut connection = LeafConnection {
        options,
        random,
        in_flight,
        frames,
        tasks,
    };
    while let Some(frame) = frame::read(&mut reader).await {
        if !connection.handle_frame(&frame).await {
            return;
        }
        while connection.tasks.try_join_next().is_some() {}
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, mut pending_frames: mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = pending_frames.recv().await {
        if writer.write_all(&frame).await.is_err() {
            return;
        }
    }
}

/// One aggregator's connection to a leaf server.
struct LeafConnection {
    options: LeafOptions,
    random: StdRng,
    /// Number of parts in flight over all connections of the server.
    in_flight: Arc<AtomicUsize>,
    frames: mpsc::Sender<Vec<u8>>,
    /// Tasks of the writer and of the parts in flight, aborted when the connection ends.
    tasks: JoinSet<()>,
}

impl LeafConnection {
    /// Handles a received frame. Returns whether the connection stays open.
    async fn handle_frame(&mut self, frame: &LeafFrame) -> bool {
        match frame.kind {
            FrameKind::Query => {
                let Some(parts) = frame::parse_parts(&frame.payload) else {
                    self.send(FrameKind::Error, b"a call that can't be read")
                        .await;
                    return false;
                };
                for part in parts {
                    self.start_part(part).await;
                }
            }
            // A cancelled part is still answered, as by a server that receives the cancellation
            // too late.
            FrameKind::Cancel => {}
            FrameKind::HealthCheck => self.send(FrameKind::HealthCheck, b"ok").await,
            FrameKind::LoadReport => self.send(FrameKind::LoadReport, b"-").await,
            // Sent by leaf servers only, so receiving one is a protocol error.
            FrameKind::Answer | FrameKind::Error => return false,
        }
        true
    }

    async fn start_part(&mut self, part: ReceivedPart) {
        let factor = self.random.random_range(SERVICE_TIME_FACTOR);
        let service_time = self.options.service_time.mul_f64(factor);
        if self.in_flight.fetch_add(1, Ordering::Relaxed) >= self.options.capacity {
            self.in_flight.fetch_sub(1, Ordering::Relaxed);
            let rejection = format!("{} busy - -\n", part.id);
            self.send(FrameKind::Answer, rejection.as_bytes()).await;
            return;
        }
        let (frames, in_flight) = (self.frames.clone(), self.in_flight.clone());
        self.tasks.spawn(async move {
            tokio::time::sleep(service_time).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let value = expected_answer(part.shard, &part.text);
            let answer = format!("{} ok 1 -\n{value}", part.id);
            let _ = frames
                .send(frame::encode(FrameKind::Answer, answer.as_bytes()))
                .await;
        });
    }

    async fn send(&self, kind: FrameKind, payload: &[u8]) {
        let _ = self.frames.send(frame::encode(kind, payload)).await;
    }
}
