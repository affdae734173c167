//! Kinds of values, with their units.

use crate::Suggestion;
use std::net::SocketAddr;
use std::time::Duration;

/// What a value has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Any text.
    Text,
    /// `yes` or `no`.
    Flag,
    /// An integer within these bounds, both included.
    Count(u64, u64),
    /// A length of time with its unit: `us`, `ms`, `s`, `m`, `h` or `d`.
    Time,
    /// An amount of memory or disk with its unit: `B`, `KiB`, `MiB` or `GiB`.
    Bytes,
    /// `ADDRESS:PORT`, numeric.
    Address,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A length of time, or one of these words.
    TimeOr(&'static [&'static str]),
}

/// Why a text is no value of a [`Kind`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// No [`Kind::Flag`].
    #[error("has to be 'yes' or 'no'")]
    NotFlag,
    /// No [`Kind::Count`], or out of its bounds.
    #[error("has to be a whole number from {min} to {max}")]
    NotCount {
        /// The smallest valid number.
        min: u64,
        /// The largest valid number.
        max: u64,
    },
    /// No [`Kind::Address`].
    #[error("has to be ADDRESS:PORT, in numbers")]
    NotAddress,
    /// None of the words of a [`Kind::Choice`].
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
    /// Neither a length of time nor one of the words of a [`Kind::TimeOr`].
    #[error("{source}, or {words}")]
    NotTimeOrWord {
        /// Why it is no length of time.
        source: Box<InvalidValue>,
        /// The valid words, separated by commas.
        words: String,
    },
}

impl Kind {
    /// Checks that `text` is a value of this kind.
    ///
    /// # Errors
    /// Why it is not.
    pub fn check(&self, text: &str) -> Result<(), InvalidValue> {
        let text = text.trim();
        match self {
            Kind::Text => Ok(()),
            Kind::Flag if matches!(text, "yes" | "no") => Ok(()),
            Kind::Flag => Err(InvalidValue::NotFlag),
            Kind::Count(min, max) => check_count(text, *min, *max),
            Kind::Time => time(text).map(drop),
            Kind::Bytes => bytes(text).map(drop),
            Kind::Address => match text.parse::<SocketAddr>() {
                Ok(_) => Ok(()),
                Err(_) => Err(InvalidValue::NotAddress),
            },
            Kind::Choice(words) | Kind::TimeOr(words) if words.contains(&text) => Ok(()),
            Kind::Choice(words) => {
                let suggestion = Suggestion::for_name(text, words.iter().copied());
                Err(InvalidValue::UnknownChoice(suggestion))
            }
            Kind::TimeOr(words) => match time(text) {
                Ok(_) => Ok(()),
                Err(source) => Err(InvalidValue::NotTimeOrWord {
                    source: Box::new(source),
                    words: words.join(", "),
                }),
            },
        }
    }
}

fn check_count(text: &str, min: u64, max: u64) -> Result<(), InvalidValue> {
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        _ => Err(InvalidValue::NotCount { min, max }),
    }
}

/// A unit, and how many of the smallest unit it is.
struct Unit {
    name: &'static str,
    factor: u64,
}

const fn unit(name: &'static str, factor: u64) -> Unit {
    Unit { name, factor }
}

/// Units of time, in microseconds.
const TIME_UNITS: [Unit; 6] = [
    unit("us", 1),
    unit("ms", 1_000),
    unit("s", 1_000_000),
    unit("m", 60_000_000),
    unit("h", 3_600_000_000),
    unit("d", 86_400_000_000),
];

/// Units of memory and disk, in bytes.
const BYTE_UNITS: [Unit; 4] = [
    unit("B", 1),
    unit("KiB", 1 << 10),
    unit("MiB", 1 << 20),
    unit("GiB", 1 << 30),
];

/// Parses a number with a unit into a number of the smallest unit.
fn quantity(text: &str, units: &[Unit], example: &'static str) -> Result<u64, InvalidValue> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit_name) = text.split_at(digits);
    let invalid = || {
        let names: Vec<&str> = units.iter().map(|unit| unit.name).collect();
        InvalidValue::NotQuantity {
            units: names.join(", "),
            example,
        }
    };
    let number: u64 = number.parse().map_err(|_| invalid())?;
    let unit = units
        .iter()
        .find(|unit| unit.name == unit_name.trim())
        .ok_or_else(invalid)?;
    number
        .checked_mul(unit.factor)
        .ok_or(InvalidValue::TooLarge)
}

/// Parses a length of time with its unit.
///
/// # Errors
/// Why `text` is none.
pub fn time(text: &str) -> Result<Duration, InvalidValue> {
    quantity(text, &TIME_UNITS, "250ms").map(Duration::from_micros)
}

/// Parses an amount of memory or disk with its unit, into bytes.
///
/// # Errors
/// Why `text` is none.
pub fn bytes(text: &str) -> Result<u64, InvalidValue> {
    quantity(text, &BYTE_UNITS, "8MiB")
}
