//! The gRPC service through which the settlement collects the usage log of an aggregator.

use crate::log::{self, LogFollower, LogPosition};
use crate::wire::usage_log_server::{UsageLog, UsageLogServer};
use crate::wire::{AcknowledgeReply, AcknowledgeRequest, Batch, FollowRequest};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status};

/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 4096;
/// Maximum number of messages that wait for a slow collector. The log is not read further while the
/// queue is full.
const MAX_QUEUED_MESSAGES: usize = 4;
/// Interval at which the log is polled for new entries.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of consecutive polls without new entries after which an empty message is sent as a
/// heartbeat.
const HEARTBEAT_POLLS: u32 = 50;

/// An error that prevents the collection service from starting.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The listener can't be configured, or its runtime or thread can't be started.
    #[error("cannot start the collection service: {0}")]
    Setup(#[from] io::Error),
}

/// An error that stops the collection service.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("{0}")]
    Listener(#[from] io::Error),
    #[error("{0}")]
    Transport(#[from] tonic::transport::Error),
}

/// Starts the collection service for the log in `directory`, on a thread that runs until the
/// process ends. Returns the bound address; if `address` has port 0, the operating system assigns
/// the port.
///
/// # Errors
/// The address can't be bound, or the runtime or the thread can't be started.
pub fn listen(address: SocketAddr, directory: PathBuf) -> Result<SocketAddr, ListenError> {
    let listener = std::net::TcpListener::bind(address)
        .map_err(|source| ListenError::Bind { address, source })?;
    listener.set_nonblocking(true)?;
    let bound_address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("usage collection".into())
        .spawn(move || {
            if let Err(error) = runtime.block_on(serve(listener, directory)) {
                tracing::error!(
                    error = error.to_string(),
                    "usage collection service stopped"
                );
            }
        })?;
    Ok(bound_address)
}

async fn serve(listener: std::net::TcpListener, directory: PathBuf) -> Result<(), ServeError> {
    let listener = TcpListener::from_std(listener)?;
    let service = UsageLogServer::new(CollectionService { directory });
    tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await?;
    Ok(())
}

/// The gRPC service for the log in one directory.
struct CollectionService {
    directory: PathBuf,
}

#[tonic::async_trait]
impl UsageLog for CollectionService {
    type FollowStream = ReceiverStream<Result<Batch, Status>>;

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let request = request.into_inner();
        let after = LogPosition {
            incarnation: request.incarnation,
            sequence: request.sequence,
        };
        let follower = LogFollower::new(&self.directory, after);
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        tokio::spawn(send_batches(follower, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn acknowledge(
        &self,
        request: Request<AcknowledgeRequest>,
    ) -> Result<Response<AcknowledgeReply>, Status> {
        let AcknowledgeRequest {
            incarnation,
            sequence,
        } = request.into_inner();
        let settled = LogPosition {
            incarnation,
            sequence,
        };
        let directory = self.directory.clone();
        let removal = move || log::remove_settled(&directory, settled);
        match tokio::task::spawn_blocking(removal).await {
            Ok(Ok(removed)) => {
                tracing::debug!(removed, incarnation, sequence, "settled segments removed");
                Ok(Response::new(AcknowledgeReply {}))
            }
            Ok(Err(error)) => {
                let message = format!("segments can't be removed: {error}");
                Err(Status::unavailable(message))
            }
            Err(error) => Err(Status::internal(error.to_string())),
        }
    }
}

/// Sends batches and heartbeats until the collector disconnects or the log can't be read.
async fn send_batches(mut follower: LogFollower, sender: mpsc::Sender<Result<Batch, Status>>) {
    let mut idle_polls = 0;
    loop {
        let read_task = tokio::task::spawn_blocking(move || {
            let next_batch = follower.next_batch(MAX_BATCH_ENTRIES);
            (follower, next_batch)
        });
        let Ok((returned_follower, next_batch)) = read_task.await else {
            return;
        };
        follower = returned_follower;
        let message = match next_batch {
            Ok(Some(batch)) => Ok(batch),
            Ok(None) if idle_polls < HEARTBEAT_POLLS => {
                idle_polls += 1;
                tokio::time::sleep(POLL_INTERVAL).await;
                if sender.is_closed() {
                    return;
                }
                continue;
            }
            Ok(None) => Ok(Batch::default()),
            Err(error) => {
                let message = format!("the log can't be read: {error}");
                Err(Status::unavailable(message))
            }
        };
        idle_polls = 0;
        let has_failed = message.is_err();
        if sender.send(message).await.is_err() || has_failed {
            return;
        }
    }
}
