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
    /// Apply new settings, except for the store and the calendar, which stay in force.
    Reload(Box<LedgerSettings>),
    /// Stop the collection and the export, and return from [`serve`].
    Shutdown,
}

/// Runs the settlement with the store at `store_path` until it receives
/// [`SettlementSignal::Shutdown`] or all senders of `signals` are dropped.
///
/// # Errors
/// The store can't be opened, read or written.
pub async fn serve(
    store_path: PathBuf,
    settings: LedgerSettings,
    mut signals: mpsc::Receiver<SettlementSignal>,
) -> Result<(), StoreError> {
    let store = Store::open(&store_path)?;
    let exporter = Exporter::start(store_path.clone(), settings.export.clone());
    let (sender, mut batches) = mpsc::channel(MAX_QUEUED_BATCHES);
    let mut collectors = Collectors::new(store_path, CollectionTimes::of(&settings), sender);
    let mut closer = PeriodCloser::new(store, settings);
    loop {
        collectors.follow(&closer.settings.members);
        tokio::select! {
            biased;
            signal = signals.recv() => match signal {
                Some(SettlementSignal::Reload(settings)) => {
                    exporter.reload(settings.export.clone());
                    collectors.reload(CollectionTimes::of(&settings));
                    closer.reload(*settings);
                }
                Some(SettlementSignal::Shutdown) | None => break,
            },
            Some(CollectedBatch { member, batch, position_sender }) = batches.recv() => {
                let position = tokio::task::block_in_place(|| closer.ingest(&member, &batch))?;
                let _ = position_sender.send(position);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        tokio::task::block_in_place(|| closer.close_next(unix_time_ms()))?;
    }
    collectors.stop();
    exporter.stop().await;
    Ok(())
}
