//! Section `[log]` of the settings: levels by target, and the format of events.

use super::SettingsError;
use crate::legacy_names;
use ini_config::{Key, Kind, Schema, Section, Settings};
use tracing_subscriber::filter::Targets;

/// The section `[log]` and its keys.
pub const SECTION: Section = Section::new(
    "log",
    &[
        Key::reloadable(
            "level",
            Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            Some("info"),
            "Lowest level that is logged. \
             QUERY_AGGREGATOR_LOG in the environment takes precedence.",
        ),
        Key::reloadable(
            "targets",
            Kind::Text,
            Some(""),
            "Log levels for individual targets, for example \
             aggregator_core::engine=debug,usage_ledger=warn.",
        ),
        Key::new(
            "format",
            Kind::Choice(&["text", "json"]),
            Some("text"),
            "Format of an event: one line of text, or one JSON object.",
        ),
    ],
);

/// Schema of this section only, for the defaults of its keys.
const SCHEMA: Schema = Schema(&[SECTION]);

/// Level that is logged if neither the settings nor the environment names one.
const DEFAULT_LEVEL: &str = "info";

/// Format of logged events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Filter and format of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Level of each target.
    pub filter: Targets,
    /// Format of events.
    pub format: LogFormat,
}

impl LogSettings {
    /// Reads the section. A level in the environment takes precedence over the one in the file.
    pub fn read(settings: &Settings) -> Result<LogSettings, SettingsError> {
        let format = settings.section(&SCHEMA, SECTION.name).text("format");
        Ok(LogSettings {
            filter: read_filter(settings)?,
            format: match format {
                Some("json") => LogFormat::Json,
                _ => LogFormat::Text,
            },
        })
    }
}

fn read_filter(settings: &Settings) -> Result<Targets, SettingsError> {
    let values = settings.section(&SCHEMA, SECTION.name);
    let environment_level = environment_level();
    let level = environment_level
        .as_deref()
        .or(values.text("level"))
        .unwrap_or(DEFAULT_LEVEL);
    // Without targets there must be no comma: an empty directive would apply to all targets.
    let directives = match values.text("targets") {
        Some(targets) => format!("{level},{targets}"),
        None => level.to_string(),
    };
    legacy_names::current_log_targets(&directives)
        .parse()
        .map_err(|error| {
            let reason = format!("invalid log filter '{directives}': {error}");
            values.problem("targets", reason).into()
        })
}

/// Returns the level that the environment names, if any.
fn environment_level() -> Option<String> {
    let value = legacy_names::environment_variable(legacy_names::LOG_VARIABLE)?;
    value.into_string().ok().filter(|level| !level.is_empty())
}
