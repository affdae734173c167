//! `query-aggregator check`: validates the configuration and the settings, and prints the values in
//! force with their origins.

use super::{output, CommandError};
use crate::configuration;
use crate::files::Files;
use crate::settings::{self, SettingsError, SCHEMA};
use aggregator_core::config::{Config, BYTES_PER_MB};
use ini_config::{Origin, Settings};
use opensearch_gateway::settings::GatewaySettings;
use std::path::Path;
use usage_ledger::settings::{LedgerSettings, UsageLogSettings};

const COLUMNS: [&str; 4] = ["SETTING", "VALUE", "FROM", "CHANGES"];

/// A value in force.
struct ValueInForce {
    name: String,
    value: String,
    origin: String,
    /// Whether a running process applies a change on SIGHUP.
    is_reloadable: bool,
}

/// Validates the named files and prints the values in force.
pub fn run(files: &Files) -> Result<(), CommandError> {
    let settings = settings::read(files.settings.as_deref())?;
    validate(&settings)?;
    let mut values = match &files.config {
        Some(path) => configuration_values(path, &configuration::read(path)?),
        None => vec![missing_configuration()],
    };
    values.extend(settings_values(files.settings.as_deref(), &settings));
    print(&values)
}

/// Checks that the values of each section fit together, which the schema does not check.
fn validate(settings: &Settings) -> Result<(), SettingsError> {
    UsageLogSettings::read(settings, &SCHEMA)?;
    LedgerSettings::read(settings, &SCHEMA)?;
    GatewaySettings::read(settings, &SCHEMA)?;
    Ok(())
}

fn configuration_values(path: &Path, config: &Config) -> Vec<ValueInForce> {
    let settings = &config.aggregator_settings;
    let addresses = &config.addresses;
    let origin = path.display().to_string();
    let fixed = |name: &str, value: String| ValueInForce {
        name: name.into(),
        value,
        origin: origin.clone(),
        is_reloadable: false,
    };
    let reloadable = |name: &str, value: String| ValueInForce {
        is_reloadable: true,
        ..fixed(name, value)
    };
    let known = format!("{} endpoints", config.cached_endpoints.endpoints.len());
    vec![
        fixed("name", config.name.clone()),
        fixed("listen", config.listen.to_string()),
        reloadable("discovery", addresses.discovery.to_string()),
        reloadable("peers", addresses.peers.len().to_string()),
        fixed("limits.sockets", config.max_descriptors.to_string()),
        fixed(
            "limits.memory_mb",
            (config.memory_limit / BYTES_PER_MB).to_string(),
        ),
        fixed("known", known),
        fixed("settings.classes", settings.classes.join(" ")),
        fixed("settings.orgs", settings.tenants.join(" ")),
        fixed("settings.localities", settings.zones.join(" ")),
        fixed("settings.extra.ranges", settings.shards.to_string()),
        fixed("settings.limits.open_cap", settings.max_open.to_string()),
    ]
}

fn missing_configuration() -> ValueInForce {
    ValueInForce {
        name: "(configuration)".into(),
        value: "(none)".into(),
        origin: "neither --config nor BALANCER_CONFIG".into(),
        is_reloadable: false,
    }
}

fn settings_values(path: Option<&Path>, settings: &Settings) -> Vec<ValueInForce> {
    let file = path
        .map(|path| path.display().to_string())
        .unwrap_or_default();
    let values = settings.effective_values(&SCHEMA).into_iter();
    values
        .map(|effective| ValueInForce {
            name: format!("[{}] {}", effective.section, effective.key),
            value: effective.value,
            origin: match effective.origin {
                Origin::Line(line) => format!("{file}:{line}"),
                Origin::Default => "default".into(),
            },
            is_reloadable: effective.is_reloadable,
        })
        .collect()
}

fn print(values: &[ValueInForce]) -> Result<(), CommandError> {
    let mut table = output::plain_table(COLUMNS);
    for value in values {
        let change = if value.is_reloadable {
            "on SIGHUP"
        } else {
            "at a start"
        };
        table.add_row([&value.name, &value.value, &value.origin, change]);
    }
    Ok(output::print(format!("{table}\n").as_bytes())?)
}
