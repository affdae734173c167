//! Suggestions for a name that is not valid.

use std::fmt;

/// Jaro-Winkler similarity, from 0 to 1, above which one name counts as a misspelling of another.
const MIN_SIMILARITY: f64 = 0.7;

/// The valid names that may have been meant by an unknown one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Suggestion {
    /// The valid name that is most similar.
    Nearest(String),
    /// No valid name is similar: all of them.
    AnyOf(Vec<String>),
}

impl Suggestion {
    /// The suggestion for `name`, given the `valid` names.
    pub(crate) fn for_name<'a>(
        name: &str,
        valid: impl Iterator<Item = &'a str> + Clone,
    ) -> Suggestion {
        match nearest(name, valid.clone()) {
            Some(near) => Suggestion::Nearest(near.to_string()),
            None => Suggestion::AnyOf(valid.map(str::to_string).collect()),
        }
    }
}

impl fmt::Display for Suggestion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suggestion::Nearest(name) => write!(f, "the nearest is '{name}'"),
            Suggestion::AnyOf(names) => write!(f, "there are {}", names.join(", ")),
        }
    }
}

fn nearest<'a>(name: &str, valid: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let similarity = |candidate: &str| strsim::jaro_winkler(name, candidate);
    valid
        .filter(|candidate| similarity(candidate) > MIN_SIMILARITY)
        .max_by(|left, right| similarity(left).total_cmp(&similarity(right)))
}
