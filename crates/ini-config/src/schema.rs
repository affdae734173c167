//! Schemas, which define the valid sections and keys of a settings file.

use crate::kind::Kind;

/// Definition of a key within a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key, which precedes the `=` in the file.
    pub name: &'static str,
    /// Kind that the key's values must have.
    pub kind: Kind,
    /// Value that applies if the file does not set the key; `None` leaves the key unset.
    pub default: Option<&'static str>,
    /// Whether a running program applies a change on SIGHUP; otherwise, a restart is required.
    pub is_reloadable: bool,
    /// Description for operators, in one sentence.
    pub doc: &'static str,
}

impl Key {
    /// Creates a key whose changes take effect at the next start of the program.
    pub const fn new(
        name: &'static str,
        kind: Kind,
        default: Option<&'static str>,
        doc: &'static str,
    ) -> Key {
        Key {
            name,
            kind,
            default,
            is_reloadable: false,
            doc,
        }
    }

    /// Creates a key whose changes take effect on SIGHUP.
    pub const fn reloadable(
        name: &'static str,
        kind: Kind,
        default: Option<&'static str>,
        doc: &'static str,
    ) -> Key {
        Key {
            is_reloadable: true,
            ..Key::new(name, kind, default, doc)
        }
    }
}

/// Definition of a section. A named section may appear several times with different names.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// First word in the brackets of the section's header.
    pub name: &'static str,
    /// Whether the header must contain a name after the section, as `[section NAME]`.
    pub is_named: bool,
    /// Keys that the section may contain.
    pub keys: &'static [Key],
}

impl Section {
    /// Creates a section that may appear once, with the header `[name]`.
    pub const fn new(name: &'static str, keys: &'static [Key]) -> Section {
        Section {
            name,
            is_named: false,
            keys,
        }
    }

    /// Creates a section that may appear several times, with headers of the form `[name NAME]`.
    pub const fn named(name: &'static str, keys: &'static [Key]) -> Section {
        Section {
            name,
            is_named: true,
            keys,
        }
    }

    pub(crate) fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// Definitions of all sections that a file may contain.
#[derive(Clone, Copy, Debug)]
pub struct Schema(pub &'static [Section]);

impl Schema {
    pub(crate) fn section(&self, name: &str) -> Option<&'static Section> {
        self.0.iter().find(|section| section.name == name)
    }
}

/// Returns the header of a section without the brackets. `name` is empty for an unnamed section.
pub(crate) fn header(section: &str, name: &str) -> String {
    if name.is_empty() {
        section.to_string()
    } else {
        format!("{section} {name}")
    }
}
