//! Collects the usage log of one member.

use super::lock::lock;
use crate::log::LogPosition;
use crate::settings::LedgerSettings;
use crate::store::{Store, StoreError};
use crate::wire::usage_log_client::UsageLogClient;
use crate::wire::{AcknowledgeRequest, Batch, FollowRequest};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Status, Streaming};

/// Minimum interval between two acknowledgements to a member.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum length of a message from a member.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum number of times that the retry delay is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A batch from a member, to be stored.
pub(super) struct CollectedBatch {
    pub(super) member: String,
    pub(super) batch: Batch,
    /// Sends back the position up to which the log of the member is stored, once this includes the
    /// batch.
    pub(super) position_sender: oneshot::Sender<LogPosition>,
}

/// Delays and timeouts of collection.
#[derive(Clone, Copy)]
pub(super) struct CollectionTimes {
    /// Delay before the first retry after a failure.
    retry_delay: Duration,
    /// Time without a message after which the collector reconnects.
    idle_timeout: Duration,
}

impl CollectionTimes {
    pub(super) fn of(settings: &LedgerSettings) -> CollectionTimes {
        CollectionTimes {
            retry_delay: settings.retry_delay,
            idle_timeout: settings.idle_timeout,
        }
    }
}

/// An error that ends the collection from a member.
#[derive(Debug, thiserror::Error)]
enum CollectError {
    #[error("cannot connect: {0}")]
    Connect(#[from] tonic::transport::Error),
    #[error("gRPC call failed: {0}")]
    Rpc(#[from] Status),
    #[error("cannot read the stored position: {0}")]
    StoredPosition(#[from] StoreError),
    #[error("task that reads the stored position failed: {0}")]
    Task(#[from] tokio::task::JoinError),
    #[error("no message within the idle timeout")]
    IdleTimeout,
    #[error("the member ended the stream")]
    EndOfStream,
    #[error("wrong mixer at this address: expected {expected}, found {found}")]
    WrongMember { found: String, expected: String },
    #[error("the settlement is shutting down")]
    ShuttingDown,
    #[error("the batch was not stored")]
    NotStored,
}

/// Collects the usage log of one member.
pub(super) struct Collector {
    pub(super) member: String,
    pub(super) address: SocketAddr,
    pub(super) store_path: PathBuf,
    pub(super) times: Arc<Mutex<CollectionTimes>>,
    pub(super) batches: mpsc::Sender<CollectedBatch>,
}

impl Collector {
    /// Collects until the task is aborted. Reconnects after failures, with exponential backoff.
    pub(super) async fn run(self) {
        let mut consecutive_failures: u32 = 0;
        loop {
            let started_at = Instant::now();
            let Err(error) = self.follow().await;
            let times = *lock(&self.times);
            consecutive_failures = if started_at.elapsed() > times.idle_timeout {
                0
            } else {
                consecutive_failures + 1
            };
            if consecutive_failures <= 1 {
                tracing::info!(
                    member = self.member,
                    address = %self.address,
                    error = error.to_string(),
                    "collection from a member failed; retrying"
                );
            }
            let doublings = consecutive_failures
                .saturating_sub(1)
                .min(MAX_BACKOFF_DOUBLINGS);
            tokio::time::sleep(times.retry_delay * 2u32.pow(doublings)).await;
        }
    }

    /// Connects to the member and collects its log until an error occurs.
    async fn follow(&self) -> Result<std::convert::Infallible, CollectError> {
        let idle_timeout = lock(&self.times).idle_timeout;
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address))?;
        let channel = endpoint.connect_timeout(idle_timeout).connect().await?;
        let mut client = UsageLogClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let position = self.stored_position().await?;
        let request = FollowRequest {
            incarnation: position.incarnation,
            sequence: position.sequence,
        };
        let mut stream = client.follow(request).await?.into_inner();
        let mut acknowledged_at = Instant::now();
        loop {
            let Some(batch) = self.next_batch(&mut stream, idle_timeout).await? else {
                continue;
            };
            let position = self.store(batch).await?;
            if acknowledged_at.elapsed() >= ACKNOWLEDGE_INTERVAL {
                acknowledge(&mut client, position).await?;
                acknowledged_at = Instant::now();
            }
        }
    }

    /// Returns the position up to which the log is stored. Collection resumes there, also after a
    /// crash of the settlement.
    async fn stored_position(&self) -> Result<LogPosition, CollectError> {
        let path = self.store_path.clone();
        let member = self.member.clone();
        let read_position = move || Store::open(&path)?.position(&member);
        Ok(tokio::task::spawn_blocking(read_position).await??)
    }

    /// Receives the next batch; returns `None` for a heartbeat.
    ///
    /// # Errors
    /// The idle timeout elapsed, the stream ended or failed, or the log is that of another member.
    async fn next_batch(
        &self,
        stream: &mut Streaming<Batch>,
        idle_timeout: Duration,
    ) -> Result<Option<Batch>, CollectError> {
        let message = timeout(idle_timeout, stream.message()).await;
        let message = message.map_err(|_| CollectError::IdleTimeout)?;
        let batch = message?.ok_or(CollectError::EndOfStream)?;
        if batch.header.is_none() && batch.entries.is_empty() && batch.damage.is_empty() {
            return Ok(None);
        }
        match &batch.header {
            Some(header) if header.mixer != self.member => Err(CollectError::WrongMember {
                found: header.mixer.clone(),
                expected: self.member.clone(),
            }),
            _ => Ok(Some(batch)),
        }
    }

    /// Passes a batch to the main loop and waits until it is stored. Returns the new position.
    async fn store(&self, batch: Batch) -> Result<LogPosition, CollectError> {
        let (position_sender, position) = oneshot::channel();
        let collected_batch = CollectedBatch {
            member: self.member.clone(),
            batch,
            position_sender,
        };
        let send_result = self.batches.send(collected_batch).await;
        send_result.map_err(|_| CollectError::ShuttingDown)?;
        position.await.map_err(|_| CollectError::NotStored)
    }
}

/// Reports to a member the position up to which its log is stored, so that it can remove segments.
async fn acknowledge(
    client: &mut UsageLogClient<Channel>,
    position: LogPosition,
) -> Result<(), CollectError> {
    let request = AcknowledgeRequest {
        incarnation: position.incarnation,
        sequence: position.sequence,
    };
    client.acknowledge(request).await?;
    Ok(())
}
