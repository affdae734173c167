//! One aggregator process, from its start to the end of its graceful shutdown.
//!
//! Everything runs on one thread: the engine, its sockets and the signal handlers are tasks of one
//! [`LocalSet`].

mod error;
mod reload;
mod signals;

pub use error::ServeError;
pub use reload::ReloadError;

use crate::configuration::{self, ConfigurationError};
use crate::files::Files;
use crate::frontends;
use crate::logging::Logging;
use crate::settings::{self, LogSettings, SettingsError};
use crate::usage_recorder::UsageLogRecorder;
use aggregator_core::config::Config;
use aggregator_core::engine::Engine;
use aggregator_core::net::{self, Clock, Extensions, UsageRecorder};
use reload::Reloader;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use usage_ledger::settings::UsageLog;
use usage_ledger::writer::{self, Writer};

/// Runs the aggregator until it is shut down by a signal.
pub fn run(files: &Files) -> Result<(), ServeError> {
    let path = files.config.as_deref();
    let config = configuration::read(path.ok_or(ConfigurationError::NotNamed)?)?;
    let settings = settings::read(files.settings.as_deref())?;
    let usage_log = UsageLog::read(&settings, &settings::SCHEMA).map_err(SettingsError::from)?;
    let logging = Logging::start(LogSettings::read(&settings)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    let reloader = Reloader {
        files: files.clone(),
        config,
        settings,
        logging,
        tls: None,
    };
    LocalSet::new().block_on(&runtime, serve(reloader, usage_log))
}

async fn serve(mut reloader: Reloader, usage_log: Option<UsageLog>) -> Result<(), ServeError> {
    let (signal_sender, signal_receiver) = mpsc::channel(1);
    let config = reloader.config.clone();
    let frontends = frontends::open(&reloader.settings).await?;
    reloader.tls = frontends.tls;
    signals::spawn_handlers(&signal_sender, Rc::new(reloader)).map_err(ServeError::Signals)?;
    log_start(&config);

    let clock = Clock::start();
    let recorder = match &usage_log {
        Some(usage_log) => Some(start_usage_writer(usage_log, &config, &clock)?),
        None => None,
    };
    let mut engine = Engine::new(
        clock.now(),
        config.aggregator_settings,
        config.policy_settings,
        config.seed,
        &config.initial_endpoints,
        config.max_descriptors,
    );
    if let Some(usage_log) = &usage_log {
        engine.record_usage(usage_log.mark.as_nanos() as u64);
    }
    let address = config.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Listen { address, source })?;
    let extensions = Extensions {
        recorder: recorder
            .map(|writer| Box::new(UsageLogRecorder { writer }) as Box<dyn UsageRecorder>),
        frontends: frontends.start,
    };
    net::serve(
        engine,
        clock,
        config.names,
        listener,
        config.addresses,
        signal_receiver,
        extensions,
    )
    .await
    .map_err(ServeError::Gossip)
}

fn log_start(config: &Config) {
    tracing::info!(
        name = config.name,
        listen = %config.listen,
        known = config.initial_endpoints.endpoints.len(),
        max_open = config.aggregator_settings.max_open,
        "starting"
    );
    tracing::debug!(
        policy = ?config.policy_settings,
        aggregator = ?config.aggregator_settings,
        "settings in force"
    );
}

fn start_usage_writer(
    usage_log: &UsageLog,
    config: &Config,
    clock: &Clock,
) -> Result<Writer, ServeError> {
    let names = writer::Names {
        mixer: config.name.clone(),
        classes: config.aggregator_settings.classes.clone(),
        give_up: config.aggregator_settings.deadlines.clone(),
        tenants: config.aggregator_settings.tenants.clone(),
    };
    writer::start(usage_log, names, clock.now()).map_err(ServeError::UsageLog)
}
