//! Parses quantities, which are whole numbers with a unit: durations and numbers of bytes.

use crate::invalid_value::InvalidValue;
use std::time::Duration;

/// A unit of time or of data size.
struct Unit {
    name: &'static str,
    /// Size of the unit, as a multiple of the smallest unit.
    factor: u64,
}

const fn unit(name: &'static str, factor: u64) -> Unit {
    Unit { name, factor }
}

/// Units of time; the smallest unit is the microsecond.
const TIME_UNITS: [Unit; 6] = [
    unit("us", 1),
    unit("ms", 1_000),
    unit("s", 1_000_000),
    unit("m", 60_000_000),
    unit("h", 3_600_000_000),
    unit("d", 86_400_000_000),
];

/// Units of data size; the smallest unit is the byte.
const BYTE_UNITS: [Unit; 4] = [
    unit("B", 1),
    unit("KiB", 1 << 10),
    unit("MiB", 1 << 20),
    unit("GiB", 1 << 30),
];

/// Parses a duration with a unit, for example `250ms`.
///
/// # Errors
/// Returns the reason why `text` is not a valid duration.
pub fn parse_time(text: &str) -> Result<Duration, InvalidValue> {
    parse_quantity(text, &TIME_UNITS, "250ms").map(Duration::from_micros)
}

/// Parses an amount of memory or disk space with a unit, for example `8MiB`, into bytes.
///
/// # Errors
/// Returns the reason why `text` is not a valid amount.
pub fn parse_bytes(text: &str) -> Result<u64, InvalidValue> {
    parse_quantity(text, &BYTE_UNITS, "8MiB")
}

/// Parses a whole number with one of `units` and converts the quantity to the smallest unit.
fn parse_quantity(text: &str, units: &[Unit], example: &'static str) -> Result<u64, InvalidValue> {
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
