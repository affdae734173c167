//! Flattens nested settings to lines of `path=value`.

use super::ConfigError;
use serde_json::Value;
use std::fmt::Write;

/// Flattens nested JSON to lines of `path=value`. A list of objects becomes its `count` and one
/// path per item. The items of other lists are joined with commas.
pub(super) fn flatten_settings(settings: &Value) -> Result<String, ConfigError> {
    if !settings.is_object() {
        return Err(ConfigError::SettingsNotAnObject);
    }
    let mut lines = String::new();
    append_value(&mut lines, "", settings);
    Ok(lines)
}

fn append_value(lines: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                append_value(lines, &join_path(path, name), value);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            append_value(lines, &join_path(path, "count"), &items.len().into());
            for (index, item) in items.iter().enumerate() {
                append_value(lines, &join_path(path, &index.to_string()), item);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            append_line(lines, path, &items.join(","));
        }
        scalar => append_line(lines, path, &scalar_text(scalar)),
    }
}

fn append_line(lines: &mut String, path: &str, value: &str) {
    // Writing to a `String` never fails.
    let _ = writeln!(lines, "{path}={value}");
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns a scalar as text, with separators replaced by `_`. A blank or comma would split the
/// value, and a line end would forge a setting.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        other => other.to_string(),
    }
}
