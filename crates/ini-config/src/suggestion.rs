//! Suggestions for unknown names.

use std::fmt;

/// Jaro-Winkler similarity, from 0 to 1, above which an unknown name counts as a misspelling.
const MIN_SIMILARITY: f64 = 0.7;

/// Valid names that may have been intended instead of an unknown name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Suggestion {
    /// The most similar valid name.
    Nearest(String),
    /// All valid names, because none is similar enough to the unknown name.
    AnyOf(Vec<String>),
}

impl Suggestion {
    /// Returns the suggestion for the unknown name `name`, given the valid names.
    pub(crate) fn for_name<'a>(
        name: &str,
        valid: impl Iterator<Item = &'a str> + Clone,
    ) -> Suggestion {
        match nearest(name, valid.clone()) {
            Some(nearest) => Suggestion::Nearest(nearest.to_string()),
            None => Suggestion::AnyOf(valid.map(str::to_string).collect()),
        }
    }
}

impl fmt::Display for Suggestion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suggestion::Nearest(name) => write!(f, "did you mean '{name}'?"),
            Suggestion::AnyOf(names) => write!(f, "expected one of: {}", names.join(", ")),
        }
    }
}

/// Returns the most similar valid name, or `None` if no name is similar enough.
fn nearest<'a>(name: &str, valid: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let similarity = |candidate: &str| strsim::jaro_winkler(name, candidate);
    valid
        .filter(|candidate| similarity(candidate) > MIN_SIMILARITY)
        .max_by(|left, right| similarity(left).total_cmp(&similarity(right)))
}
