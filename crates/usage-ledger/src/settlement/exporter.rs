//! The thread that delivers the documents in the outbox, with retries after failures.

use super::clock::unix_time_ms;
use super::lock::lock;
use crate::document::OutgoingDocument;
use crate::export;
use crate::settings::ExportTarget;
use crate::store::{Store, StoreError};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which the exporter polls the outbox.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// State that the exporter thread shares with its handle.
struct ExporterState {
    target: Mutex<ExportTarget>,
    stopping: AtomicBool,
}

impl ExporterState {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// Handle of the running exporter thread.
pub(super) struct Exporter {
    state: Arc<ExporterState>,
    thread: JoinHandle<()>,
}

impl Exporter {
    pub(super) fn start(store_path: PathBuf, target: ExportTarget) -> Exporter {
        let state = Arc::new(ExporterState {
            target: Mutex::new(target),
            stopping: AtomicBool::new(false),
        });
        let thread = {
            let state = state.clone();
            std::thread::spawn(move || {
                if let Err(error) = run(&store_path, &state) {
                    tracing::error!(%error, "export stopped: cannot access the store");
                }
            })
        };
        Exporter { state, thread }
    }

    pub(super) fn reload(&self, target: ExportTarget) {
        *lock(&self.state.target) = target;
    }

    /// Stops the thread and waits until it has ended. An attempt in progress is completed first.
    pub(super) async fn stop(self) {
        self.state.stopping.store(true, Ordering::Relaxed);
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

fn run(store_path: &Path, state: &ExporterState) -> Result<(), StoreError> {
    let store = Store::open(store_path)?;
    // Time of the next attempt by document id, for documents whose last attempt failed.
    let mut retry_at: HashMap<String, Instant> = HashMap::new();
    while !state.is_stopping() {
        let target = lock(&state.target).clone();
        for document in store.undelivered_documents(&target)? {
            if state.is_stopping() {
                return Ok(());
            }
            let next_attempt = retry_at.get(&document.id);
            if next_attempt.is_none_or(|at| *at <= Instant::now()) {
                send(&store, &target, &document, &mut retry_at)?;
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn send(
    store: &Store,
    target: &ExportTarget,
    document: &OutgoingDocument,
    retry_at: &mut HashMap<String, Instant>,
) -> Result<(), StoreError> {
    let delivery = export::deliver(target, document);
    store.record_delivery(&document.id, &delivery, unix_time_ms())?;
    let Some(error) = delivery.error else {
        retry_at.remove(&document.id);
        return Ok(());
    };
    let attempts = document.attempts + 1;
    tracing::warn!(
        document = document.id,
        attempts,
        error = error.to_string(),
        "document was not delivered; retrying"
    );
    let backoff = export::retry_backoff(target.retry_delay, attempts);
    retry_at.insert(document.id.clone(), Instant::now() + backoff);
    Ok(())
}
