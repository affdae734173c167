//! Reading one section, with errors that name the section and key at fault.

use ini_config::{Problems, Schema, Section, SectionValues, Settings};
use std::fmt::Display;
use std::path::PathBuf;

/// The values of one section.
#[derive(Clone, Copy)]
pub(super) struct SectionReader<'a> {
    settings: &'a Settings,
    section: &'static str,
    /// The name of a named section, else empty.
    name: &'a str,
    pub(super) values: SectionValues<'a>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(
        settings: &'a Settings,
        schema: &Schema,
        section: &Section,
        name: &'a str,
    ) -> SectionReader<'a> {
        SectionReader {
            settings,
            section: section.name,
            name,
            values: settings.of(schema, section.name, name),
        }
    }

    /// An error at one key of the section.
    pub(super) fn error(&self, key: &str, reason: impl Display) -> Problems {
        let reason = reason.to_string();
        self.settings.problem(self.section, self.name, key, &reason)
    }

    /// The value of a key, or an error that it is missing.
    pub(super) fn required<T>(&self, key: &str, value: Option<T>) -> Result<T, Problems> {
        value.ok_or_else(|| self.error(key, "is missing"))
    }

    pub(super) fn required_text(&self, key: &str) -> Result<&'a str, Problems> {
        self.required(key, self.values.text(key))
    }

    pub(super) fn path(&self, key: &str) -> Option<PathBuf> {
        self.values.text(key).map(PathBuf::from)
    }
}
