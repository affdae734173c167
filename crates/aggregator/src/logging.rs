//! Structured logs on standard error, as text or JSON, filtered by level and target.
//!
//! A field has the same name in all lines: `client`, `connection`, `id` (of a query), `replica`,
//! `class` and `tenant` (numbers), `address`, `segment`, `member`, `period`, `error`. The name of a
//! duration ends in its unit, for example `_ms`.

use crate::settings::{LogFormat, LogSettings};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, Registry};

/// Why logging could not be started or reloaded.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// Logging was already started in this process.
    #[error(transparent)]
    Start(#[from] TryInitError),
    /// The filter cannot be replaced.
    #[error(transparent)]
    Reload(#[from] reload::Error),
}

/// Logging of this process, whose levels can be changed while the process runs.
pub struct Logging {
    filter: Handle<Targets, Registry>,
}

impl Logging {
    /// Starts logging. Succeeds only once per process.
    pub fn start(settings: LogSettings) -> Result<Logging, LoggingError> {
        let (filter, handle) = reload::Layer::new(settings.filter);
        let text_output = tracing_subscriber::fmt::layer()
            .with_ansi(false)
            .with_writer(std::io::stderr);
        let output = match settings.format {
            LogFormat::Json => text_output.json().flatten_event(true).boxed(),
            LogFormat::Text => text_output.boxed(),
        };
        tracing_subscriber::registry()
            .with(output.with_filter(filter))
            .try_init()?;
        Ok(Logging { filter: handle })
    }

    /// Applies changed levels. The format stays the same until a restart.
    pub fn reload(&self, settings: LogSettings) -> Result<(), LoggingError> {
        Ok(self.filter.reload(settings.filter)?)
    }
}
