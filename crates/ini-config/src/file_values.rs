//! Values of a settings file with their line numbers.

use std::collections::BTreeMap;

/// A value in a file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SourceValue {
    pub(crate) text: String,
    /// Line number, counted from 1.
    pub(crate) line: usize,
}

/// Section, name and key that identify a value in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ValueKey {
    section: String,
    /// Name in the header `[section NAME]`; empty for `[section]`.
    name: String,
    key: String,
}

impl ValueKey {
    fn new(section: &str, name: &str, key: &str) -> ValueKey {
        ValueKey {
            section: section.to_string(),
            name: name.to_string(),
            key: key.to_string(),
        }
    }
}

/// Values of a file that has been checked against a schema.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct FileValues {
    values: BTreeMap<ValueKey, SourceValue>,
    /// Line numbers of the headers `[section NAME]`, by section and name.
    header_lines: BTreeMap<String, BTreeMap<String, usize>>,
}

impl FileValues {
    pub(crate) fn insert(&mut self, section: &str, name: &str, key: &str, value: SourceValue) {
        self.values.insert(ValueKey::new(section, name, key), value);
    }

    pub(crate) fn insert_named_section(&mut self, section: &str, name: &str, line: usize) {
        let lines = self.header_lines.entry(section.to_string()).or_default();
        lines.insert(name.to_string(), line);
    }

    pub(crate) fn get(&self, section: &str, name: &str, key: &str) -> Option<&SourceValue> {
        self.values.get(&ValueKey::new(section, name, key))
    }

    /// Returns the line number of the header `[section NAME]`.
    pub(crate) fn header_line(&self, section: &str, name: &str) -> Option<usize> {
        self.header_lines.get(section)?.get(name).copied()
    }

    /// Returns the names in all headers `[section NAME]`, in alphabetical order.
    pub(crate) fn section_names(&self, section: &str) -> Vec<&str> {
        let lines = self.header_lines.get(section).into_iter();
        lines.flat_map(BTreeMap::keys).map(String::as_str).collect()
    }
}
