//! Line numbers of sections and keys.
//!
//! The INI parser reports no line numbers for values, so the text is scanned a second time.

use std::collections::BTreeMap;

/// Line numbers of the sections and keys of a text, counted from 1.
pub(crate) struct LineIndex {
    /// Lines on which each header occurs, by header without the brackets.
    sections: BTreeMap<String, Vec<usize>>,
    /// Lines on which each key is assigned, by section and key.
    keys: BTreeMap<QualifiedKey, Vec<usize>>,
}

/// A key with the header of its section, without the brackets.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QualifiedKey {
    header: String,
    key: String,
}

impl QualifiedKey {
    fn new(header: &str, key: &str) -> QualifiedKey {
        QualifiedKey {
            header: header.to_string(),
            key: key.to_string(),
        }
    }
}

impl LineIndex {
    pub(crate) fn new(text: &str) -> LineIndex {
        let mut index = LineIndex {
            sections: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        let mut current_header = "";
        for (lines_before, line) in text.lines().enumerate() {
            let line_number = lines_before + 1;
            let line = line.trim();
            if let Some(header) = section_header(line) {
                current_header = header;
                let lines = index.sections.entry(header.to_string()).or_default();
                lines.push(line_number);
            } else if let Some(key) = assigned_key(line) {
                let qualified_key = QualifiedKey::new(current_header, key);
                index
                    .keys
                    .entry(qualified_key)
                    .or_default()
                    .push(line_number);
            }
        }
        index
    }

    /// Returns the line of a section's header. `occurrence` counts equal headers from 0.
    pub(crate) fn section_line(&self, header: &str, occurrence: usize) -> Option<usize> {
        self.sections.get(header)?.get(occurrence).copied()
    }

    /// Returns the line of an assignment to a key. `occurrence` counts the assignments to the same
    /// key of a section from 0.
    pub(crate) fn key_line(&self, header: &str, key: &str, occurrence: usize) -> Option<usize> {
        let lines = self.keys.get(&QualifiedKey::new(header, key))?;
        lines.get(occurrence).copied()
    }
}

/// Returns the header in a line `[header]`, without the brackets.
fn section_header(line: &str) -> Option<&str> {
    let rest = line.strip_prefix('[')?;
    rest.split(']').next().map(str::trim)
}

/// Returns the key in a line `key = value` or `key: value`; `None` for comments and other lines.
fn assigned_key(line: &str) -> Option<&str> {
    if line.starts_with([';', '#']) {
        return None;
    }
    line.split_once(['=', ':']).map(|(key, _)| key.trim())
}
