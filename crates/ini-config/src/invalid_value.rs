//! Why a value does not have its key's kind.

use crate::suggestion::Suggestion;

/// Why a text is no value of a [`Kind`](crate::Kind).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// No [`Kind::Flag`](crate::Kind::Flag).
    #[error("has to be 'yes' or 'no'")]
    NotFlag,
    /// No [`Kind::Count`](crate::Kind::Count), or out of its bounds.
    #[error("has to be a whole number from {min} to {max}")]
    NotCount {
        /// The smallest valid number.
        min: u64,
        /// The largest valid number.
        max: u64,
    },
    /// No [`Kind::Address`](crate::Kind::Address).
    #[error("has to be ADDRESS:PORT, in numbers")]
    NotAddress,
    /// None of the words of a [`Kind::Choice`](crate::Kind::Choice).
    #[error("{0}")]
    UnknownChoice(Suggestion),
    /// No number with one of the units.
    #[error("has to be a whole number and a unit ({units}), as in {example}")]
    NotQuantity {
        /// The valid units, separated by commas.
        units: String,
        /// A valid value.
        example: &'static str,
    },
    /// A number with a unit that does not fit 64 bits in the smallest unit.
    #[error("is too large")]
    TooLarge,
    /// Neither a length of time nor one of the words of a [`Kind::TimeOr`](crate::Kind::TimeOr).
    #[error("{source}, or {words}")]
    NotTimeOrWord {
        /// Why it is no length of time.
        source: Box<InvalidValue>,
        /// The valid words, separated by commas.
        words: String,
    },
}
