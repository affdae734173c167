//! Handlers for the signals of operators: SIGTERM and SIGINT start a graceful shutdown, SIGHUP a
//! reload.
//!
//! Each signal becomes an [`OperatorSignal`], which the event loop of `aggregator_core::net` passes
//! to the engine.

use super::reload::Reloader;
use aggregator_core::net::OperatorSignal;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

/// Maximum number of queued signals. Further ones stay pending in the operating system.
const MAX_QUEUED_SIGNALS: usize = 1;

/// Spawns one task per signal. Must run inside a `LocalSet`.
pub fn spawn_handlers(reloader: Rc<Reloader>) -> io::Result<mpsc::Receiver<OperatorSignal>> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_SIGNALS);
    for kind in [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ] {
        let mut signals = signal(kind)?;
        let (sender, reloader) = (sender.clone(), reloader.clone());
        tokio::task::spawn_local(async move {
            while signals.recv().await.is_some() {
                let signal = handle_signal(kind, &reloader);
                // Fails once the process has stopped serving, when signals have no effect.
                let _ = sender.send(signal).await;
            }
        });
    }
    Ok(receiver)
}

/// Reloads the files on SIGHUP. Returns the request for the event loop.
fn handle_signal(kind: SignalKind, reloader: &Reloader) -> OperatorSignal {
    if kind == SignalKind::hangup() {
        OperatorSignal::Reload(reloader.reload())
    } else {
        tracing::info!("shutdown requested");
        OperatorSignal::Shutdown
    }
}
