//! Names from before the program was called `query-aggregator`, and what they are called now.
//!
//! Operators may have the old names in their unit files and settings; every fallback to one is
//! here.

use std::ffi::OsString;

/// The settings file, unless the command line names one.
pub const SETTINGS_VARIABLE: &str = "QUERY_AGGREGATOR_SETTINGS";
/// The log level, ahead of the settings file's.
pub const LOG_VARIABLE: &str = "QUERY_AGGREGATOR_LOG";

const PREFIX: &str = "QUERY_AGGREGATOR_";
const OLD_PREFIX: &str = "COTTONHILL_";

/// Log targets are crate and module paths; those of the old crates stand for those of the new ones.
const LOG_TARGETS: [(&str, &str); 7] = [
    ("cottonhill_mixer::routing", "aggregator_core::engine"),
    ("cottonhill_mixer::transport", "aggregator_core::net"),
    ("cottonhill_mixer", "aggregator_core"),
    ("cottonhill_ledger", "usage_ledger"),
    ("cottonhill_opensearch", "opensearch_gateway"),
    ("cottonhill_decisions", "aggregator_policy"),
    ("cottonhill", "query_aggregator"),
];

fn old_name(variable: &str) -> String {
    variable.replacen(PREFIX, OLD_PREFIX, 1)
}

/// The value of one of our environment variables, by its new name or else by its old one.
pub fn environment_variable(variable: &str) -> Option<OsString> {
    std::env::var_os(variable).or_else(|| std::env::var_os(old_name(variable)))
}

/// The line that tells the operator which old variables are still set, if any is.
pub fn environment_warning() -> Option<String> {
    let variables = [SETTINGS_VARIABLE, LOG_VARIABLE];
    let renamed: Vec<String> = variables
        .iter()
        .filter(|variable| std::env::var_os(old_name(variable)).is_some())
        .map(|variable| format!("{} is now called {variable}", old_name(variable)))
        .collect();
    (!renamed.is_empty()).then(|| renamed.join("; "))
}

/// Log directives in which each target of an old crate is replaced by that of the new one.
pub fn current_log_targets(directives: &str) -> String {
    let current = directives.split(',').map(|directive| {
        let target = directive.trim();
        let renamed = LOG_TARGETS.iter().find_map(|(old, new)| {
            let rest = target.strip_prefix(old)?;
            rest.starts_with([':', '=']).then(|| format!("{new}{rest}"))
        });
        renamed.unwrap_or_else(|| target.to_string())
    });
    current.collect::<Vec<String>>().join(",")
}
