//! What is wrong with a settings file.

use crate::invalid_value::InvalidValue;
use crate::suggestion::Suggestion;
use std::fmt;

/// One problem of a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {kind}", .line.map(|line| format!(":{line}")).unwrap_or_default())]
pub struct Problem {
    /// The file's path, as it was given.
    pub file: String,
    /// The line, counted from 1, where the problem belongs to one.
    pub line: Option<usize>,
    /// What is wrong.
    pub kind: ProblemKind,
}

/// What is wrong at one place of a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The text is not an INI file.
    #[error("cannot be read: {0}")]
    Syntax(String),
    /// A key is set before the first section.
    #[error("'{key}' stands in no section")]
    KeyOutsideSection {
        /// The key.
        key: String,
    },
    /// A section header appears a second time.
    #[error("[{header}] stands twice")]
    DuplicateSection {
        /// The header without its brackets.
        header: String,
    },
    /// The schema has no such section.
    #[error("there is no section [{section}]; {suggestion}")]
    UnknownSection {
        /// The section's name in the file.
        section: String,
        /// What may have been meant.
        suggestion: Suggestion,
    },
    /// A header lacks its name, or has one that it must not have.
    #[error("[{header}] has to be of the form [{section}{}]", if *.named { " NAME" } else { "" })]
    SectionForm {
        /// The header without its brackets.
        header: String,
        /// The section's name in the schema.
        section: String,
        /// Whether the schema requires a name.
        named: bool,
    },
    /// A key is set a second time in one section.
    #[error("[{header}] {key} is set twice")]
    DuplicateKey {
        /// The header without its brackets.
        header: String,
        /// The key.
        key: String,
    },
    /// The section has no such key.
    #[error("[{header}] has no key '{key}'; {suggestion}")]
    UnknownKey {
        /// The header without its brackets.
        header: String,
        /// The key in the file.
        key: String,
        /// What may have been meant.
        suggestion: Suggestion,
    },
    /// A value does not have its key's kind.
    #[error("[{header}] {key} = {value}: {source}")]
    InvalidValue {
        /// The header without its brackets.
        header: String,
        /// The key.
        key: String,
        /// The value in the file.
        value: String,
        /// Why it is not valid.
        source: InvalidValue,
    },
    /// A value has its key's kind, but the program that uses it can't accept it.
    #[error("[{header}] {key}: {reason}")]
    Rejected {
        /// The header without its brackets.
        header: String,
        /// The key.
        key: String,
        /// Why the program can't accept it.
        reason: String,
    },
}

/// All problems of a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&messages.join("; "))
    }
}
