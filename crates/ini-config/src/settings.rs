//! The settings in force: the values of a file, and the schema's defaults.

use crate::file_values::FileValues;
use crate::parser;
use crate::problem::Problems;
use crate::schema::{header, Key, Schema, Section};
use crate::section_values::SectionValues;
use std::collections::{BTreeMap, BTreeSet};

/// The name of a section that has none.
const NO_NAME: &str = "";
/// Stands for a value that is unset and has no default.
const NOT_SET: &str = "(not set)";

/// Where a value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A line of the file, counted from 1.
    Line(usize),
    /// The schema's default.
    Default,
}

/// One value in force, as text for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// The section's header without its brackets.
    pub section: String,
    /// The key.
    pub key: &'static str,
    /// The value as text, or `(not set)`.
    pub value: String,
    /// Where the value came from.
    pub origin: Origin,
    /// Whether a running program applies a change on SIGHUP.
    pub reloadable: bool,
}

/// The values of a file, and the schema's defaults where it has none.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The file's path, as it was given.
    file: String,
    values: FileValues,
}

impl Settings {
    /// Settings without a file: the defaults.
    pub fn defaults() -> Settings {
        Settings {
            file: "no file".into(),
            values: FileValues::default(),
        }
    }

    /// Reads `text`, the content of `file`, and checks it against `schema`.
    ///
    /// # Errors
    /// Everything in the text that does not match the schema.
    pub fn read(schema: &Schema, file: &str, text: &str) -> Result<Settings, Problems> {
        Ok(Settings {
            file: file.into(),
            values: parser::parse(schema, file, text)?,
        })
    }

    /// The names with which a named section appears, in alphabetical order.
    pub fn section_names(&self, section: &str) -> Vec<&str> {
        self.values.section_names(section)
    }

    /// Every value in force, with its origin, in the order of the schema.
    pub fn effective_values(&self, schema: &Schema) -> Vec<EffectiveValue> {
        let mut values = Vec::new();
        for section in schema.0 {
            let names = if section.named {
                self.section_names(section.name)
            } else {
                vec![NO_NAME]
            };
            for name in names {
                let keys = section.keys.iter();
                values.extend(keys.map(|key| self.effective_value(section, name, key)));
            }
        }
        values
    }

    fn effective_value(&self, section: &Section, name: &str, key: &Key) -> EffectiveValue {
        let source = self.values.get(section.name, name, key.name);
        let text = source.map(|value| value.text.as_str()).or(key.default);
        EffectiveValue {
            section: header(section.name, name),
            key: key.name,
            value: text.unwrap_or(NOT_SET).to_string(),
            origin: source.map_or(Origin::Default, |value| Origin::Line(value.line)),
            reloadable: key.reloadable,
        }
    }

    /// The values that differ in `next` and that a running program does not apply, as
    /// `[section] key`.
    pub fn needs_restart(&self, next: &Settings, schema: &Schema) -> Vec<String> {
        let before = self.restart_values(schema);
        let after = next.restart_values(schema);
        let keys: BTreeSet<&FullKey> = before.keys().chain(after.keys()).collect();
        keys.into_iter()
            .filter(|key| before.get(*key) != after.get(*key))
            .map(|key| format!("[{}] {}", key.section, key.key))
            .collect()
    }

    /// The values that need a restart to change.
    fn restart_values(&self, schema: &Schema) -> BTreeMap<FullKey, String> {
        let mut values = BTreeMap::new();
        for EffectiveValue {
            section,
            key,
            value,
            reloadable,
            ..
        } in self.effective_values(schema)
        {
            if !reloadable {
                values.insert(FullKey { section, key }, value);
            }
        }
        values
    }

    /// The values of a section, with the defaults of `schema`.
    pub fn section<'a>(&'a self, schema: &Schema, section: &'a str) -> SectionValues<'a> {
        self.named_section(schema, section, NO_NAME)
    }

    /// The values of the section `[section name]`, with the defaults of `schema`.
    pub fn named_section<'a>(
        &'a self,
        schema: &Schema,
        section: &'a str,
        name: &'a str,
    ) -> SectionValues<'a> {
        SectionValues {
            file: &self.file,
            values: &self.values,
            section,
            name,
            schema: schema.section(section),
        }
    }
}

/// A key with the header of its section, ordered by section.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FullKey {
    section: String,
    key: &'static str,
}
