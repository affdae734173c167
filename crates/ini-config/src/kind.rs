//! Kinds of values and their validation.

use crate::invalid_value::InvalidValue;
use crate::quantity::{parse_bytes, parse_time};
use crate::suggestion::Suggestion;
use std::net::SocketAddr;

/// Kind of a key's values, which determines the valid texts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Any text.
    Text,
    /// `yes` or `no`.
    Flag,
    /// An unsigned integer between these bounds, both inclusive.
    Count(u64, u64),
    /// A duration with one of the units `us`, `ms`, `s`, `m`, `h` and `d`.
    Time,
    /// An amount of memory or disk space with one of the units `B`, `KiB`, `MiB` and `GiB`.
    Bytes,
    /// A numeric IP address and port, as `ADDRESS:PORT`.
    Address,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A duration (see [`Kind::Time`]) or one of these words.
    TimeOr(&'static [&'static str]),
}

impl Kind {
    /// Checks that `text` is a valid value of this kind.
    ///
    /// # Errors
    /// Returns the reason why `text` is invalid.
    pub fn check(&self, text: &str) -> Result<(), InvalidValue> {
        let text = text.trim();
        match self {
            Kind::Text => Ok(()),
            Kind::Flag => check_flag(text),
            Kind::Count(min, max) => check_count(text, *min, *max),
            Kind::Time => parse_time(text).map(drop),
            Kind::Bytes => parse_bytes(text).map(drop),
            Kind::Address => check_address(text),
            Kind::Choice(words) => check_choice(text, words),
            Kind::TimeOr(words) => check_time_or_word(text, words),
        }
    }
}

fn check_flag(text: &str) -> Result<(), InvalidValue> {
    match text {
        "yes" | "no" => Ok(()),
        _ => Err(InvalidValue::NotFlag),
    }
}

fn check_count(text: &str, min: u64, max: u64) -> Result<(), InvalidValue> {
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        _ => Err(InvalidValue::NotCount { min, max }),
    }
}

fn check_address(text: &str) -> Result<(), InvalidValue> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(InvalidValue::NotAddress),
    }
}

fn check_choice(text: &str, words: &[&str]) -> Result<(), InvalidValue> {
    if words.contains(&text) {
        return Ok(());
    }
    let suggestion = Suggestion::for_name(text, words.iter().copied());
    Err(InvalidValue::UnknownChoice(suggestion))
}

fn check_time_or_word(text: &str, words: &[&str]) -> Result<(), InvalidValue> {
    if words.contains(&text) {
        return Ok(());
    }
    match parse_time(text) {
        Ok(_) => Ok(()),
        Err(source) => Err(InvalidValue::NotTimeOrWord {
            source: Box::new(source),
            words: words.join(", "),
        }),
    }
}
