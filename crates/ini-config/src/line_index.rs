//! Line numbers of sections and keys.
//!
//! The INI parser reports values without their lines, so the text is scanned a second time.

use std::collections::BTreeMap;

/// Where sections and keys stand in a text; lines are counted from 1.
pub(crate) struct LineIndex {
    sections: BTreeMap<String, Vec<usize>>,
    /// By section header and key.
    keys: BTreeMap<(String, String), Vec<usize>>,
}

impl LineIndex {
    pub(crate) fn new(text: &str) -> LineIndex {
        let mut index = LineIndex {
            sections: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        let mut current = String::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(header) = section_header(line) {
                current = header.to_string();
                let lines = index.sections.entry(current.clone()).or_default();
                lines.push(number + 1);
            } else if let Some(key) = assigned_key(line) {
                let lines = index.keys.entry((current.clone(), key.to_string()));
                lines.or_default().push(number + 1);
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
        let lines = self.keys.get(&(header.to_string(), key.to_string()))?;
        lines.get(occurrence).copied()
    }
}

fn section_header(line: &str) -> Option<&str> {
    let rest = line.strip_prefix('[')?;
    rest.split(']').next().map(str::trim)
}

fn assigned_key(line: &str) -> Option<&str> {
    if line.starts_with([';', '#']) {
        return None;
    }
    line.split_once(['=', ':']).map(|(key, _)| key.trim())
}
