//! Line numbers of sections and keys.
//!
//! The INI parser reports values without their lines, so the text is scanned a second time.

use std::collections::BTreeMap;

/// The lines of a text's sections and keys, counted from 1.
pub(crate) struct LineIndex {
    sections: BTreeMap<String, Vec<usize>>,
    keys: BTreeMap<KeyPosition, Vec<usize>>,
}

/// A key and the header of its section.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct KeyPosition {
    header: String,
    key: String,
}

impl KeyPosition {
    fn new(header: &str, key: &str) -> KeyPosition {
        KeyPosition {
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
        for (line_index, line) in text.lines().enumerate() {
            let line_number = line_index + 1;
            let line = line.trim();
            if let Some(header) = section_header(line) {
                current_header = header;
                let lines = index.sections.entry(header.to_string()).or_default();
                lines.push(line_number);
            } else if let Some(key) = assigned_key(line) {
                let position = KeyPosition::new(current_header, key);
                index.keys.entry(position).or_default().push(line_number);
            }
        }
        index
    }

    /// The line of the `occurrence`-th header of this section, counted from 0.
    pub(crate) fn section(&self, header: &str, occurrence: usize) -> Option<usize> {
        self.sections.get(header)?.get(occurrence).copied()
    }

    /// The line of the `occurrence`-th assignment to a key of a section, counted from 0.
    pub(crate) fn key(&self, header: &str, key: &str, occurrence: usize) -> Option<usize> {
        let lines = self.keys.get(&KeyPosition::new(header, key))?;
        lines.get(occurrence).copied()
    }
}

/// The header in a line `[header]`, without its brackets.
fn section_header(line: &str) -> Option<&str> {
    let rest = line.strip_prefix('[')?;
    rest.split(']').next().map(str::trim)
}

/// The key in a line `key = value` or `key: value`.
fn assigned_key(line: &str) -> Option<&str> {
    if line.starts_with([';', '#']) {
        return None;
    }
    line.split_once(['=', ':']).map(|(key, _)| key.trim())
}
