//! Timestamps in the form in which the ledger writes them.

/// Unix milliseconds as a timestamp.
pub fn format_ms(ms: u64) -> String {
    let timestamp = jiff::Timestamp::from_millisecond(ms as i64).unwrap_or_default();
    format!("{timestamp:.3}")
}

/// The Unix milliseconds of a timestamp.
pub fn parse_ms(text: &str) -> Option<u64> {
    let timestamp: jiff::Timestamp = text.parse().ok()?;
    Some(timestamp.as_millisecond() as u64)
}
