//! Reading one section: values that are required, and paths.

use ini_config::{Problems, SectionValues};
use std::path::PathBuf;

/// The value of a key, or an error that it is missing.
pub(super) fn required<T>(
    section: &SectionValues,
    key: &str,
    value: Option<T>,
) -> Result<T, Problems> {
    value.ok_or_else(|| section.problem(key, "is missing"))
}

/// The text of a key, or an error that it is missing.
pub(super) fn required_text<'a>(
    section: &SectionValues<'a>,
    key: &str,
) -> Result<&'a str, Problems> {
    required(section, key, section.text(key))
}

/// The path of a key, if it is set.
pub(super) fn path(section: &SectionValues, key: &str) -> Option<PathBuf> {
    section.text(key).map(PathBuf::from)
}
