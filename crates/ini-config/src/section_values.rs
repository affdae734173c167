//! Typed access to the values of one section.

use crate::file_values::FileValues;
use crate::problem::{Problem, ProblemKind, Problems};
use crate::quantity::{parse_bytes, parse_time};
use crate::schema::{header, Section};
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// The values of one section, with the defaults of the schema.
///
/// The values were checked when the file was read, so the methods return `None` only if the key is
/// unset, has an empty value or has a different kind.
#[derive(Clone, Copy)]
pub struct SectionValues<'a> {
    pub(crate) file: &'a str,
    pub(crate) values: &'a FileValues,
    pub(crate) section: &'a str,
    /// Name in the header `[section NAME]`; empty for `[section]`.
    pub(crate) name: &'a str,
    /// `None` if the schema does not define the section. All keys are then unset.
    pub(crate) schema: Option<&'static Section>,
}

impl<'a> SectionValues<'a> {
    /// Returns the value of a key as text, or `None` if the key is unset or its value is empty.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        let key = self.schema?.key(key)?;
        let source = self.values.get(self.section, self.name, key.name);
        source
            .map(|value| value.text.as_str())
            .or(key.default)
            .filter(|text| !text.is_empty())
    }

    /// Returns whether the value of a [`Kind::Flag`](crate::Kind::Flag) is `yes`.
    pub fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("yes")
    }

    /// Returns the value of a [`Kind::Count`](crate::Kind::Count).
    pub fn count(&self, key: &str) -> Option<u64> {
        self.text(key)?.parse().ok()
    }

    /// Returns the value of a [`Kind::Time`](crate::Kind::Time).
    pub fn time(&self, key: &str) -> Option<Duration> {
        parse_time(self.text(key)?).ok()
    }

    /// Returns the value of a [`Kind::Bytes`](crate::Kind::Bytes), in bytes.
    pub fn bytes(&self, key: &str) -> Option<u64> {
        parse_bytes(self.text(key)?).ok()
    }

    /// Returns the value of a [`Kind::Address`](crate::Kind::Address).
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        self.text(key)?.parse().ok()
    }

    /// Returns a problem with the value of a key, for checks that go beyond the schema.
    ///
    /// The problem has the line of the value. If the file does not set the key, the problem has the
    /// line of the named section's header, or no line if the section is unnamed.
    pub fn problem(&self, key: &str, reason: impl Display) -> Problems {
        let value = self.values.get(self.section, self.name, key);
        let line = value
            .map(|value| value.line)
            .or_else(|| self.values.header_line(self.section, self.name));
        Problems(vec![Problem {
            file: self.file.into(),
            line,
            kind: ProblemKind::RejectedValue {
                header: header(self.section, self.name),
                key: key.into(),
                reason: reason.to_string(),
            },
        }])
    }
}
