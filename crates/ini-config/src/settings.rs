//! Effective settings: the values of a file, with the defaults of a schema.

use crate::file_values::FileValues;
use crate::parser;
use crate::problem::Problems;
use crate::schema::{header, Key, Schema, Section};
use crate::section_values::SectionValues;
use std::collections::{BTreeMap, BTreeSet};

/// Name under which the values of a section without a name are stored.
const UNNAMED: &str = "";
/// Text that is shown for a key without a value.
const NOT_SET: &str = "(not set)";

/// Origin of an effective value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The given line of the file, counted from 1.
    Line(usize),
    /// The default in the schema.
    Default,
}

/// An effective value in text form, to show to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// Header of the section without the brackets.
    pub section: String,
    /// Name of the key.
    pub key: &'static str,
    /// Text of the value, or `(not set)` if the key has no value.
    pub value: String,
    /// Line or default that defines the value.
    pub origin: Origin,
    /// Whether a running program applies a change on SIGHUP; otherwise, a restart is required.
    pub is_reloadable: bool,
}

/// The values of a settings file.
///
/// The methods that return values take the schema as an argument and apply its defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Path of the file, as passed by the caller.
    file: String,
    values: FileValues,
}

impl Settings {
    /// Returns settings without a file, in which every key has its default.
    pub fn defaults() -> Settings {
        Settings {
            file: "(no settings file)".into(),
            values: FileValues::default(),
        }
    }

    /// Parses `text`, the content of `file`, and checks it against `schema`.
    ///
    /// # Errors
    /// Returns the syntax error or all violations of the schema.
    pub fn read(schema: &Schema, file: &str, text: &str) -> Result<Settings, Problems> {
        Ok(Settings {
            file: file.into(),
            values: parser::parse(schema, file, text)?,
        })
    }

    /// Returns the names in all headers `[section NAME]`, in alphabetical order.
    pub fn section_names(&self, section: &str) -> Vec<&str> {
        self.values.section_names(section)
    }

    /// Returns all effective values with their origins, in the order of the schema.
    pub fn effective_values(&self, schema: &Schema) -> Vec<EffectiveValue> {
        let mut values = Vec::new();
        for section in schema.0 {
            let names = if section.is_named {
                self.section_names(section.name)
            } else {
                vec![UNNAMED]
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
            is_reloadable: key.is_reloadable,
        }
    }

    /// Returns the keys whose values differ in `next` and take effect only after a restart, in the
    /// form `[section] key`.
    pub fn keys_requiring_restart(&self, next: &Settings, schema: &Schema) -> Vec<String> {
        let before = self.values_requiring_restart(schema);
        let after = next.values_requiring_restart(schema);
        let keys: BTreeSet<&QualifiedKey> = before.keys().chain(after.keys()).collect();
        keys.into_iter()
            .filter(|key| before.get(*key) != after.get(*key))
            .map(|key| format!("[{}] {}", key.section, key.key))
            .collect()
    }

    /// Returns the values that only a restart can change, by section and key.
    fn values_requiring_restart(&self, schema: &Schema) -> BTreeMap<QualifiedKey, String> {
        let mut values = BTreeMap::new();
        for EffectiveValue {
            section,
            key,
            value,
            is_reloadable,
            ..
        } in self.effective_values(schema)
        {
            if !is_reloadable {
                values.insert(QualifiedKey { section, key }, value);
            }
        }
        values
    }

    /// Returns the values of the section `[section]`, with the defaults of `schema`.
    pub fn section<'a>(&'a self, schema: &Schema, section: &'a str) -> SectionValues<'a> {
        self.named_section(schema, section, UNNAMED)
    }

    /// Returns the values of the section `[section NAME]`, with the defaults of `schema`.
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

/// A key with the header of its section.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QualifiedKey {
    section: String,
    key: &'static str,
}
