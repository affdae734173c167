//! The settings in force.

use crate::{parser, Key, Problem, ProblemKind, Problems, Schema, Section, Values};
use std::collections::{BTreeMap, BTreeSet};

/// Where a value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A line of the file, counted from 1.
    Line(usize),
    /// The schema's default.
    Default,
}

/// One value in force, for people to read.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// The section's header without its brackets.
    pub section: String,
    /// The key.
    pub key: &'static str,
    /// The value as text, or `(not set)`.
    pub value: String,
    /// Where the value came from.
    pub origin: Origin,
    /// Whether a running program applies a change on SIGHUP.
    pub live: bool,
}

/// A value as it stands in the file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SourceValue {
    pub(crate) text: String,
    pub(crate) line: usize,
}

/// Addresses one value of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ValueKey {
    section: &'static str,
    /// Empty where the section has no name.
    name: String,
    key: &'static str,
}

impl ValueKey {
    pub(crate) fn new(section: &'static str, name: &str, key: &'static str) -> ValueKey {
        ValueKey {
            section,
            name: name.to_string(),
            key,
        }
    }
}

/// The values of a file, and the schema's defaults where it has none.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    file: String,
    pub(crate) values: BTreeMap<ValueKey, SourceValue>,
    /// The names of each named section, with the line of its header.
    pub(crate) names: BTreeMap<&'static str, BTreeMap<String, usize>>,
}

impl Settings {
    /// Settings without a file: the defaults.
    pub fn defaults() -> Settings {
        Settings::empty("no file")
    }

    pub(crate) fn empty(file: &str) -> Settings {
        Settings {
            file: file.into(),
            values: BTreeMap::new(),
            names: BTreeMap::new(),
        }
    }

    /// Reads `text`, the content of `file`, and checks it against `schema`.
    ///
    /// # Errors
    /// Everything in the text that does not match the schema.
    pub fn read(schema: &Schema, file: &str, text: &str) -> Result<Settings, Problems> {
        parser::parse(schema, file, text)
    }

    /// A problem with one value that only the program that uses it can detect.
    ///
    /// It carries the line of the value or, where the file does not set it, of its named section.
    pub fn problem(&self, section: &str, name: &str, key: &str, reason: &str) -> Problems {
        let value_line = self
            .values
            .iter()
            .find(|(at, _)| at.section == section && at.name == name && at.key == key)
            .map(|(_, value)| value.line);
        let section_line = || self.names.get(section)?.get(name).copied();
        Problems(vec![Problem {
            file: self.file.clone(),
            line: value_line.or_else(section_line),
            kind: ProblemKind::Rejected {
                header: header(section, name),
                key: key.into(),
                reason: reason.into(),
            },
        }])
    }

    /// The names with which a named section appears, in alphabetical order.
    pub fn names(&self, section: &str) -> Vec<&str> {
        let names = self.names.get(section).into_iter();
        names.flat_map(BTreeMap::keys).map(String::as_str).collect()
    }

    /// Every value in force, with its origin, in the order of the schema.
    pub fn shown(&self, schema: &Schema) -> Vec<Shown> {
        let mut shown = Vec::new();
        for section in schema.0 {
            let names = if section.named {
                self.names(section.name)
            } else {
                vec![""]
            };
            for name in names {
                let values = section.keys.iter();
                shown.extend(values.map(|key| self.show(section, name, key)));
            }
        }
        shown
    }

    fn show(&self, section: &'static Section, name: &str, key: &'static Key) -> Shown {
        let source = self.source(section.name, name, key.name);
        let text = source.map(|value| value.text.as_str()).or(key.default);
        Shown {
            section: header(section.name, name),
            key: key.name,
            value: text.unwrap_or("(not set)").to_string(),
            origin: source.map_or(Origin::Default, |value| Origin::Line(value.line)),
            live: key.live,
        }
    }

    /// The values that differ in `next` and that a running program does not apply, as
    /// `[section] key`.
    pub fn needs_restart(&self, next: &Settings, schema: &Schema) -> Vec<String> {
        let before = self.restart_values(schema);
        let after = next.restart_values(schema);
        let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        keys.into_iter()
            .filter(|key| before.get(*key) != after.get(*key))
            .map(|(section, key)| format!("[{section}] {key}"))
            .collect()
    }

    /// The values that need a restart to change, by section header and key.
    fn restart_values(&self, schema: &Schema) -> BTreeMap<(String, &'static str), String> {
        self.shown(schema)
            .into_iter()
            .filter(|shown| !shown.live)
            .map(|shown| ((shown.section, shown.key), shown.value))
            .collect()
    }

    /// The values of one section, with the defaults of `schema`. `name` is empty where the section
    /// has none.
    pub fn of<'a>(&'a self, schema: &Schema, section: &'static str, name: &'a str) -> Values<'a> {
        Values::new(self, schema.section(section), name)
    }

    pub(crate) fn source(
        &self,
        section: &'static str,
        name: &str,
        key: &'static str,
    ) -> Option<&SourceValue> {
        self.values.get(&ValueKey::new(section, name, key))
    }
}

/// A section's header without its brackets.
fn header(section: &str, name: &str) -> String {
    if name.is_empty() {
        section.to_string()
    } else {
        format!("{section} {name}")
    }
}
