//! Problems of a settings file.

use crate::invalid_value::InvalidValue;
use crate::suggestion::Suggestion;
use std::fmt;

/// A problem in a settings file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {kind}", .line.map(|line| format!(":{line}")).unwrap_or_default())]
pub struct Problem {
    /// Path of the file, as passed by the caller.
    pub file: String,
    /// Line number, counted from 1, or `None` if the problem does not belong to a single line.
    pub line: Option<usize>,
    /// Kind of the problem, with the names and values involved.
    pub kind: ProblemKind,
}

/// Kind of a [`Problem`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The text is not a well-formed INI file.
    #[error("invalid INI syntax: {0}")]
    InvalidSyntax(String),
    /// A key is set before the first section.
    #[error("key '{key}' is outside of any section")]
    KeyOutsideSection {
        /// Name of the key.
        key: String,
    },
    /// A section header appears more than once.
    #[error("duplicate section [{header}]")]
    DuplicateSection {
        /// Section header without the brackets.
        header: String,
    },
    /// The schema does not define the section.
    #[error("unknown section [{section}]; {suggestion}")]
    UnknownSection {
        /// First word of the header in the file.
        section: String,
        /// Valid names that may have been intended.
        suggestion: Suggestion,
    },
    /// A header lacks a required name, or has a name although the section is unnamed.
    #[error("[{header}] must have the form [{section}{}]", if *.is_named { " NAME" } else { "" })]
    InvalidHeader {
        /// Section header without the brackets.
        header: String,
        /// Name of the section in the schema.
        section: String,
        /// Whether the header must contain a name after the section.
        is_named: bool,
    },
    /// A key is set more than once in the same section.
    #[error("[{header}] {key} is set more than once")]
    DuplicateKey {
        /// Section header without the brackets.
        header: String,
        /// Name of the key.
        key: String,
    },
    /// The schema of the section does not define the key.
    #[error("unknown key '{key}' in [{header}]; {suggestion}")]
    UnknownKey {
        /// Section header without the brackets.
        header: String,
        /// Name of the key in the file.
        key: String,
        /// Valid names that may have been intended.
        suggestion: Suggestion,
    },
    /// A value does not match the kind of its key.
    #[error("[{header}] {key} = {value}: {source}")]
    InvalidValue {
        /// Section header without the brackets.
        header: String,
        /// Name of the key.
        key: String,
        /// Text of the value in the file.
        value: String,
        /// Reason why the value is invalid.
        source: InvalidValue,
    },
    /// A value matches the kind of its key, but the program rejects it.
    #[error("[{header}] {key}: {reason}")]
    RejectedValue {
        /// Section header without the brackets.
        header: String,
        /// Name of the key.
        key: String,
        /// Reason why the program rejects the value.
        reason: String,
    },
}

/// All problems of a settings file, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&messages.join("; "))
    }
}
