//! Parses time values, for example `500ms` or `2s`.

/// Parses a whole number with one of the units `ms`, `s`, `m`, `h` and `d` into milliseconds.
///
/// Returns `None` if the text does not have this form or the result overflows.
pub fn parse_time_value_ms(text: &str) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(unit_ms)
}
