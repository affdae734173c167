//! Error of a value that does not match the kind of its key.

use crate::suggestion::Suggestion;

/// Reason why a text is not a valid value of a [`Kind`](crate::Kind).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// The text is not a [`Kind::Flag`](crate::Kind::Flag).
    #[error("must be 'yes' or 'no'")]
    NotFlag,
    /// The text is not a [`Kind::Count`](crate::Kind::Count), or the number is out of bounds.
    #[error("must be a whole number from {min} to {max}")]
    NotCount {
        /// Smallest valid number.
        min: u64,
        /// Largest valid number.
        max: u64,
    },
    /// The text is not a [`Kind::Address`](crate::Kind::Address).
    #[error("must be a numeric IP address and port (for example 127.0.0.1:8080)")]
    NotAddress,
    /// The text is not one of the words of a [`Kind::Choice`](crate::Kind::Choice).
    #[error("unknown value; {0}")]
    UnknownChoice(Suggestion),
    /// The text is not a whole number with one of the valid units.
    #[error("must be a whole number with a unit ({units}), for example {example}")]
    NotQuantity {
        /// Valid units, separated by commas.
        units: String,
        /// Example of a valid value.
        example: &'static str,
    },
    /// The quantity, expressed in the smallest unit, does not fit in 64 bits.
    #[error("must be less than 2^64 when expressed in the smallest unit")]
    TooLarge,
    /// The text is neither a duration nor one of the words of a
    /// [`Kind::TimeOr`](crate::Kind::TimeOr).
    #[error("{source}, or one of: {words}")]
    NotTimeOrWord {
        /// Reason why the text is not a valid duration.
        source: Box<InvalidValue>,
        /// Valid words, separated by commas.
        words: String,
    },
}
