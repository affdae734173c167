//! Timestamps in the format of the ledger.

/// Formats Unix milliseconds as a timestamp.
pub fn format_ms(ms: u64) -> String {
    let timestamp = jiff::Timestamp::from_millisecond(ms as i64).unwrap_or_default();
    format!("{timestamp:.3}")
}

/// Parses a timestamp to Unix milliseconds. Returns `None` if the text is malformed.
pub fn parse_ms(text: &str) -> Option<u64> {
    let timestamp: jiff::Timestamp = text.parse().ok()?;
    Some(timestamp.as_millisecond() as u64)
}
