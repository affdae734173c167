//! Names from before the program was called `query-aggregator`, with the names that replace them.
//!
//! Operators may still use the old names in unit files and settings. This module implements every
//! fallback to an old name.

use std::ffi::OsString;

/// Environment variable that names the settings file, unless the command line does.
pub const SETTINGS_VARIABLE: &str = "QUERY_AGGREGATOR_SETTINGS";
/// Environment variable for the log level, which takes precedence over the settings file.
pub const LOG_VARIABLE: &str = "QUERY_AGGREGATOR_LOG";

const PREFIX: &str = "QUERY_AGGREGATOR_";
const OLD_PREFIX: &str = "COTTONHILL_";

/// Old and new name of a log target, which is the path of a crate or module.
struct RenamedTarget {
    old: &'static str,
    new: &'static str,
}

const fn renamed(old: &'static str, new: &'static str) -> RenamedTarget {
    RenamedTarget { old, new }
}

/// Log targets of the old crates. The first match is applied, so modules come before their crate.
const RENAMED_TARGETS: [RenamedTarget; 7] = [
    renamed("cottonhill_mixer::routing", "aggregator_core::engine"),
    renamed("cottonhill_mixer::transport", "aggregator_core::net"),
    renamed("cottonhill_mixer", "aggregator_core"),
    renamed("cottonhill_ledger", "usage_ledger"),
    renamed("cottonhill_opensearch", "opensearch_gateway"),
    renamed("cottonhill_decisions", "aggregator_policy"),
    renamed("cottonhill", "query_aggregator"),
];

fn old_name(variable: &str) -> String {
    variable.replacen(PREFIX, OLD_PREFIX, 1)
}

/// Returns the value of an environment variable of this program, or else that of its old name.
pub fn environment_variable(variable: &str) -> Option<OsString> {
    std::env::var_os(variable).or_else(|| std::env::var_os(old_name(variable)))
}

/// Returns a warning that names the old variables that are set, or `None` if none is set.
pub fn environment_warning() -> Option<String> {
    let variables = [SETTINGS_VARIABLE, LOG_VARIABLE];
    let renamed: Vec<String> = variables
        .iter()
        .filter(|variable| std::env::var_os(old_name(variable)).is_some())
        .map(|variable| format!("{} is now called {variable}", old_name(variable)))
        .collect();
    (!renamed.is_empty()).then(|| renamed.join("; "))
}

/// Replaces each target of an old crate in a list of log directives by that of the new crate.
pub fn current_log_targets(directives: &str) -> String {
    let current: Vec<String> = directives.split(',').map(current_log_target).collect();
    current.join(",")
}

/// Replaces the target of one directive, for example `TARGET=LEVEL`, if it is an old one.
fn current_log_target(directive: &str) -> String {
    let directive = directive.trim();
    for target in &RENAMED_TARGETS {
        let Some(rest) = directive.strip_prefix(target.old) else {
            continue;
        };
        if rest.starts_with([':', '=']) {
            return format!("{}{rest}", target.new);
        }
    }
    directive.to_string()
}
