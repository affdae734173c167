//! Helpers to read required values and paths from a section.

use ini_config::{Problems, SectionValues};
use std::path::PathBuf;

/// Returns the value of a key, or an error if the key has no value.
pub(super) fn required<T>(
    section: &SectionValues,
    key: &str,
    value: Option<T>,
) -> Result<T, Problems> {
    value.ok_or_else(|| section.problem(key, "required value is missing"))
}

/// Returns the text of a key, or an error if the key has no value.
pub(super) fn required_text<'a>(
    section: &SectionValues<'a>,
    key: &str,
) -> Result<&'a str, Problems> {
    required(section, key, section.text(key))
}

/// Returns the value of a key as a path, or `None` if the key has no value.
pub(super) fn path(section: &SectionValues, key: &str) -> Option<PathBuf> {
    section.text(key).map(PathBuf::from)
}
