//! The settlement service.
//!
//! A task for each member follows its log and hands batches to the one loop that writes the store
//! and closes periods; a thread sends documents. Collecting goes on where the store is, so a crash
//! of either side costs nothing but a second delivery.

mod closer;
mod collector;
mod exporter;

use self::closer::PeriodCloser;
use self::collector::{CollectedBatch, CollectionTimes, Collectors};
use self::exporter::Exporter;
use crate::settings::LedgerSettings;
use crate::store::{Store, StoreError};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// Batches that may wait for the store, from all members together.
const MAX_QUEUED_BATCHES: usize = 8;
/// Interval at which periods to close and documents to send are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What an operator tells a running settlement.
pub enum SettlementSignal {
    /// These settings are in force from now on.
    Reload(Box<LedgerSettings>),
    /// End in order.
    Shutdown,
}

/// The time in Unix milliseconds.
pub fn unix_time_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as i64
}

/// Locks a mutex whose data is valid whatever became of other threads that held it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the settlement until it is told to shut down.
///
/// # Errors
/// The store can't be used.
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
