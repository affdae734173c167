//! Handlers of the signals that operators send: SIGTERM and SIGINT start a graceful shutdown,
//! SIGHUP a reload.

use super::reload::Reloader;
use aggregator_core::net::OperatorSignal;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

/// Starts one task for each signal. Must run inside a `LocalSet`.
pub fn spawn_handlers(
    sender: &mpsc::Sender<OperatorSignal>,
    reloader: Rc<Reloader>,
) -> io::Result<()> {
    for kind in [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ] {
        let mut signals = signal(kind)?;
        let (sender, reloader) = (sender.clone(), reloader.clone());
        tokio::task::spawn_local(async move {
            while signals.recv().await.is_some() {
                // The receiver is gone once the process has stopped serving.
                let _ = sender.send(operator_signal(kind, &reloader)).await;
            }
        });
    }
    Ok(())
}

fn operator_signal(kind: SignalKind, reloader: &Reloader) -> OperatorSignal {
    if kind == SignalKind::hangup() {
        OperatorSignal::Reload(reloader.reload())
    } else {
        tracing::info!("shutdown requested");
        OperatorSignal::Shutdown
    }
}
