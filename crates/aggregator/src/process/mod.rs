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
use crate::settings::{self, LogSettings, SettingsError, SCHEMA};
use crate::usage_recorder::UsageLogRecorder;
use aggregator_core::config::Config;
use aggregator_core::engine::{Engine, EngineOptions};
use aggregator_core::net::{self, Clock, Extensions, UsageRecorder};
use ini_config::Settings;
use reload::Reloader;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use usage_ledger::settings::UsageLogSettings;
use usage_ledger::writer::{self, RunClass, RunTables};

/// Content of the files at the start of the process.
struct Startup {
    config: Config,
    settings: Settings,
    /// `None` if the usage log is off.
    usage_log: Option<UsageLogSettings>,
}

/// Runs the aggregator until a signal shuts it down.
pub fn run(files: &Files) -> Result<(), ServeError> {
    let startup = read_files(files)?;
    let logging = Logging::start(LogSettings::read(&startup.settings)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(files, startup, logging))
}

fn read_files(files: &Files) -> Result<Startup, ServeError> {
    let path = files.config.as_deref();
    let config = configuration::read(path.ok_or(ConfigurationError::NotNamed)?)?;
    let settings = settings::read(files.settings.as_deref())?;
    let usage_log = UsageLogSettings::read(&settings, &SCHEMA).map_err(SettingsError::from)?;
    Ok(Startup {
        config,
        settings,
        usage_log,
    })
}

async fn serve(files: &Files, startup: Startup, logging: Logging) -> Result<(), ServeError> {
    let Startup {
        config,
        settings,
        usage_log,
    } = startup;
    let frontends = frontends::open(&settings).await?;
    let reloader = Reloader {
        files: files.clone(),
        config: config.clone(),
        settings,
        logging,
        tls: frontends.tls,
    };
    let signals = signals::spawn_handlers(Rc::new(reloader)).map_err(ServeError::Signals)?;
    log_start(&config);

    let clock = Clock::start();
    let recorder = match &usage_log {
        Some(usage_log) => Some(start_recorder(usage_log, &config, &clock)?),
        None => None,
    };
    let options = EngineOptions {
        settings: config.aggregator_settings,
        policy_settings: config.policy_settings,
        policy_seed: config.seed,
        cached_endpoints: config.cached_endpoints,
        max_descriptors: config.max_descriptors,
        memory_limit: config.memory_limit,
    };
    let mut engine = Engine::new(clock.now(), options);
    if let Some(usage_log) = &usage_log {
        engine.record_usage(usage_log.watermark_interval.as_nanos() as u64);
    }
    let listener = bind_client_listener(config.listen).await?;
    let extensions = Extensions {
        recorder,
        frontends: frontends.start,
    };
    net::serve(
        engine,
        clock,
        config.names,
        listener,
        config.addresses,
        signals,
        extensions,
    )
    .await
    .map_err(ServeError::Gossip)
}

async fn bind_client_listener(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Listen { address, source })
}

fn log_start(config: &Config) {
    tracing::info!(
        name = config.name,
        listen = %config.listen,
        known = config.cached_endpoints.endpoints.len(),
        max_open = config.aggregator_settings.max_open,
        "starting"
    );
    tracing::debug!(
        policy = ?config.policy_settings,
        aggregator = ?config.aggregator_settings,
        "settings in force"
    );
}

/// Starts the writer of the usage log, which has its own thread.
fn start_recorder(
    usage_log: &UsageLogSettings,
    config: &Config,
    clock: &Clock,
) -> Result<Box<dyn UsageRecorder>, ServeError> {
    let settings = &config.aggregator_settings;
    let classes = settings.classes.iter().zip(&settings.deadlines);
    let tables = RunTables {
        aggregator: config.name.clone(),
        classes: classes
            .map(|(name, timeout_ns)| RunClass {
                name: name.clone(),
                client_timeout_ns: *timeout_ns,
            })
            .collect(),
        tenants: settings.tenants.clone(),
    };
    let writer = writer::start(usage_log, tables, clock.now()).map_err(ServeError::UsageLog)?;
    Ok(Box::new(UsageLogRecorder::new(writer)))
}
