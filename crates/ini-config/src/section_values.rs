//! Typed access to the values of one section.

use crate::file_values::FileValues;
use crate::quantity::{parse_bytes, parse_time};
use crate::schema::Section;
use std::net::SocketAddr;
use std::time::Duration;

/// The values of one section.
///
/// All were checked when the file was read, so a method returns `None` only for a key that is unset
/// or of another kind.
#[derive(Clone, Copy)]
pub struct SectionValues<'a> {
    values: &'a FileValues,
    /// None if the schema has no such section: all its keys are unset.
    section: Option<&'static Section>,
    /// The name of a named section, else empty.
    name: &'a str,
}

impl<'a> SectionValues<'a> {
    pub(crate) fn new(
        values: &'a FileValues,
        section: Option<&'static Section>,
        name: &'a str,
    ) -> SectionValues<'a> {
        SectionValues {
            values,
            section,
            name,
        }
    }

    /// The value of a key as text; `None` if it is unset or empty.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        let section = self.section?;
        let key = section.key(key)?;
        let source = self.values.get(section.name, self.name, key.name);
        source
            .map(|value| value.text.as_str())
            .or(key.default)
            .filter(|text| !text.is_empty())
    }

    /// Whether a [`Kind::Flag`](crate::Kind::Flag) is `yes`.
    pub fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("yes")
    }

    /// The value of a [`Kind::Count`](crate::Kind::Count).
    pub fn count(&self, key: &str) -> Option<u64> {
        self.text(key)?.parse().ok()
    }

    /// The value of a [`Kind::Time`](crate::Kind::Time).
    pub fn time(&self, key: &str) -> Option<Duration> {
        parse_time(self.text(key)?).ok()
    }

    /// The value of a [`Kind::Bytes`](crate::Kind::Bytes).
    pub fn bytes(&self, key: &str) -> Option<u64> {
        parse_bytes(self.text(key)?).ok()
    }

    /// The value of a [`Kind::Address`](crate::Kind::Address).
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        self.text(key)?.parse().ok()
    }
}
