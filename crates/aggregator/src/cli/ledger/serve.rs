//! `ledger serve`: runs the settlement process.

use super::context::{read_ledger_settings, LedgerContext};
use super::LedgerError;
use crate::files::Files;
use crate::logging::Logging;
use crate::process::ReloadError;
use crate::settings::{self, LogSettings, SCHEMA};
use ini_config::Settings;
use std::io;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use usage_ledger::settings::LedgerSettings;
use usage_ledger::settlement::{self, SettlementSignal};

/// Number of worker threads of the asynchronous runtime.
const WORKER_THREADS: usize = 2;

/// Runs the settlement until it is shut down by SIGTERM or SIGINT.
pub fn run(files: &Files) -> Result<(), LedgerError> {
    let settings = settings::read(files.settings.as_deref())?;
    let context = LedgerContext::new(read_ledger_settings(&settings)?)?;
    let logging = Logging::start(LogSettings::read(&settings)?)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(LedgerError::Runtime)?;
    let reloader = Reloader {
        files: files.clone(),
        settings,
        logging,
    };
    runtime.block_on(serve(context, reloader))
}

async fn serve(context: LedgerContext, reloader: Reloader) -> Result<(), LedgerError> {
    let (sender, receiver) = mpsc::channel(1);
    spawn_shutdown_handlers(&sender).map_err(LedgerError::Runtime)?;
    spawn_reload_handler(&sender, reloader).map_err(LedgerError::Runtime)?;
    let members = context.settings.members.len();
    tracing::info!(store = %context.store_path.display(), members, "starting settlement");
    settlement::serve(context.store_path, context.settings, receiver).await?;
    Ok(())
}

fn spawn_shutdown_handlers(sender: &mpsc::Sender<SettlementSignal>) -> io::Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind)?;
        let sender = sender.clone();
        tokio::spawn(async move {
            if signals.recv().await.is_some() {
                // Sending fails if the settlement has already ended.
                let _ = sender.send(SettlementSignal::Shutdown).await;
            }
        });
    }
    Ok(())
}

fn spawn_reload_handler(
    sender: &mpsc::Sender<SettlementSignal>,
    reloader: Reloader,
) -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    let sender = sender.clone();
    tokio::spawn(async move {
        while hangups.recv().await.is_some() {
            match reloader.reload() {
                Ok(settings) => {
                    let _ = sender
                        .send(SettlementSignal::Reload(Box::new(settings)))
                        .await;
                }
                Err(error) => tracing::error!(
                    "settings not reloaded, previous settings stay in force: {error}"
                ),
            }
        }
    });
    Ok(())
}

/// Reloads the settings file on SIGHUP.
struct Reloader {
    files: Files,
    /// Settings at the start of the process, with which reloaded settings are compared.
    settings: Settings,
    logging: Logging,
}

impl Reloader {
    /// Reads and validates all settings, applies those for logging, and returns those of the
    /// ledger.
    fn reload(&self) -> Result<LedgerSettings, ReloadError> {
        let settings = settings::read(self.files.settings.as_deref())?;
        let ledger_settings = read_ledger_settings(&settings)?;
        self.logging.reload(LogSettings::read(&settings)?)?;
        let restart = self
            .settings
            .keys_requiring_restart(&settings, &SCHEMA)
            .join(", ");
        tracing::info!(restart, "settings reloaded");
        Ok(ledger_settings)
    }
}
