//! Hints for a name that is not known.

use std::fmt;

/// Jaro-Winkler similarity, from 0 to 1, above which two names are taken for the same one mistyped.
const MIN_SIMILARITY: f64 = 0.7;

/// What an operator may have meant by an unknown name.
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
    valid
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity > MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}
