//! Schemas: the sections and keys that a settings file may have.

use crate::kind::Kind;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its name, which the file has before the `=`.
    pub name: &'static str,
    /// The kind of its values.
    pub kind: Kind,
    /// The value where the file has none; without a default the key is then unset.
    pub default: Option<&'static str>,
    /// Whether a running program applies a change on SIGHUP.
    pub reloadable: bool,
    /// One sentence for the operator.
    pub doc: &'static str,
}

impl Key {
    /// A key whose change takes effect at the next start.
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
            reloadable: false,
            doc,
        }
    }

    /// A key whose change takes effect on SIGHUP.
    pub const fn reloadable(
        name: &'static str,
        kind: Kind,
        default: Option<&'static str>,
        doc: &'static str,
    ) -> Key {
        Key {
            reloadable: true,
            ..Key::new(name, kind, default, doc)
        }
    }
}

/// One section; a named one may appear several times, as `[name NAME]`.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Its name, which the file has in brackets.
    pub name: &'static str,
    /// Whether the header has to have a name after that of the section.
    pub named: bool,
    /// The keys that it may have.
    pub keys: &'static [Key],
}

impl Section {
    /// A section that may appear once, as `[name]`.
    pub const fn new(name: &'static str, keys: &'static [Key]) -> Section {
        Section {
            name,
            named: false,
            keys,
        }
    }

    /// A section that may appear several times, as `[name NAME]`.
    pub const fn named(name: &'static str, keys: &'static [Key]) -> Section {
        Section {
            name,
            named: true,
            keys,
        }
    }

    pub(crate) fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// All sections that a file may have.
#[derive(Clone, Copy, Debug)]
pub struct Schema(pub &'static [Section]);

impl Schema {
    pub(crate) fn section(&self, name: &str) -> Option<&'static Section> {
        self.0.iter().find(|section| section.name == name)
    }
}

/// A section's header without its brackets. `name` is empty where the section has none.
pub(crate) fn header(section: &str, name: &str) -> String {
    if name.is_empty() {
        section.to_string()
    } else {
        format!("{section} {name}")
    }
}
