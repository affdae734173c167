//! The main loop of the settlement, which stores batches and closes periods.

use super::clock::unix_time_ms;
use super::closer::PeriodCloser;
use super::collector::{CollectedBatch, CollectionTimes};
use super::collectors::Collectors;
use super::exporter::Exporter;
use crate::settings::LedgerSettings;
use crate::store::{Store, StoreError};
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of batches that wait to be stored, over all members.
const MAX_QUEUED_BATCHES: usize = 8;
/// Interval at which the settlement checks whether a period may close.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Command to the running settlement.
pub enum SettlementSignal {
    /// Apply new settings.
    Reload(Box<LedgerSettings>),
    /// Shut down gracefully.
    Shutdown,
}

/// Runs the settlement until it receives [`SettlementSignal::Shutdown`] or all senders of `signals`
/// are dropped.
///
/// # Errors
/// The store can't be opened, read or written.
pub async fn serve(
    path: PathBuf,
    settings: LedgerSettings,
    mut signals: mpsc::Receiver<SettlementSignal>,
) -> Result<(), StoreError> {
    let store = Store::open(&path)?;
    let exporter = Exporter::start(path.clone(), settings.export.clone());
    let (sender, mut batches) = mpsc::channel(MAX_QUEUED_BATCHES);
    let mut collectors = Collectors::new(path, CollectionTimes::of(&settings), sender);
    let mut closer = PeriodCloser::new(store, settings);
    loop {
        collectors.follow(&closer.settings.members);
        tokio::select! {
            biased;
            signal = signals.recv() => match signal {
                Some(SettlementSignal::Reload(next)) => {
                    exporter.reload(next.export.clone());
                    collectors.reload(CollectionTimes::of(&next));
                    closer.reload(*next);
                }
                Some(SettlementSignal::Shutdown) | None => break,
            },
            Some(CollectedBatch { member, batch, stored }) = batches.recv() => {
                let position = tokio::task::block_in_place(|| closer.ingest(&member, &batch))?;
                let _ = stored.send(position);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        tokio::task::block_in_place(|| closer.close_next(unix_time_ms()))?;
    }
    collectors.stop();
    exporter.stop().await;
    Ok(())
}
