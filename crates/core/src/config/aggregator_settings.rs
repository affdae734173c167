//! Settings of the aggregator apart from those of the policy. Only this file maps the platform's
//! keys to their fields.

use super::key_values::KeyValues;
use super::PlatformSettingsError;
use crate::api::Nanos;

// Defaults for absent settings; they bound memory use and waiting times.
const DEFAULT_MAX_OPEN: usize = 4096;
const DEFAULT_MAX_ATTEMPTS: usize = u8::MAX as usize;
const DEFAULT_CONNECT_TIMEOUT_NS: Nanos = 250_000_000;
const DEFAULT_IDLE_TIMEOUT_NS: Nanos = 30_000_000_000;

/// Settings of the aggregator that do not belong to the policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AggregatorSettings {
    /// Names of the query classes, indexed by class number.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by tenant number.
    pub tenants: Vec<String>,
    /// Names of the zones, indexed by zone number.
    pub zones: Vec<String>,
    /// Number of the zone of this aggregator.
    pub zone: u16,
    /// For each class, the maximum time that a client waits, in nanoseconds.
    pub deadlines: Vec<Nanos>,
    /// For each class, the share of the weight that a complete answer must cover, from 0 to 1.
    pub completeness_thresholds: Vec<f64>,
    /// For each class, the minimum share of the weight that any answer must cover, from 0 to 1.
    pub minimum_coverages: Vec<f64>,
    /// Number of shards, at least 1.
    pub shards: u32,
    /// Maximum number of parts per call to a leaf server, at least 1.
    pub max_parts_per_call: usize,
    /// Maximum number of parts in flight on one connection, at least 1.
    pub max_streams: usize,
    /// Maximum number of attempts at one part.
    pub max_attempts: usize,
    /// Total of open queries and parts at which no further query is accepted.
    pub max_open: usize,
    /// Maximum time to open a connection to a leaf server, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Idle time after which a leaf server closes a connection, in nanoseconds. The aggregator
    /// closes the connection earlier.
    pub idle_timeout: Nanos,
    /// `Retry-After` for a client that is rejected on arrival, in nanoseconds; `None` if the
    /// settings do not allow the header.
    pub retry_after: Option<Nanos>,
    /// Whether aggregators may exchange gossip messages.
    pub gossip_allowed: bool,
    /// Whether health checks may be sent to leaf servers.
    pub health_checks_allowed: bool,
    /// Names of the values in a load report; empty if leaf servers report no load.
    pub load_report_fields: Vec<String>,
}

/// Parses the aggregator's settings from lines of `key=value`.
///
/// # Errors
///
/// Returns an error if a required key is missing or a value is invalid.
pub fn parse_aggregator_settings(text: &str) -> Result<AggregatorSettings, PlatformSettingsError> {
    let values = KeyValues::parse(text)?;
    let classes = values.names("classes")?;
    let class_count = classes.len();
    reject_second_steps(&values, class_count)?;
    Ok(AggregatorSettings {
        deadlines: (0..class_count)
            .map(|class| values.positive(&format!("classes.{class}.give_up_ns")))
            .collect::<Result<_, _>>()?,
        completeness_thresholds: class_ratios(&values, "extra.class_need", class_count)?,
        minimum_coverages: class_ratios(&values, "extra.least_share", class_count)?,
        tenants: values.names("orgs")?,
        zones: values.list("localities"),
        zone: values.or_default("my_zone")?,
        shards: values.positive_u32("extra.ranges")?,
        max_parts_per_call: values.optional("extra.bundle_max")?.unwrap_or(1).max(1),
        max_streams: values
            .optional("limits.streams_per_conn")?
            .unwrap_or(1)
            .max(1),
        max_attempts: values
            .optional("limits.max_attempts")?
            .unwrap_or(DEFAULT_MAX_ATTEMPTS),
        max_open: values
            .optional("limits.open_cap")?
            .unwrap_or(DEFAULT_MAX_OPEN),
        connect_timeout: values
            .optional("limits.connect_timeout_ns")?
            .unwrap_or(DEFAULT_CONNECT_TIMEOUT_NS),
        idle_timeout: values
            .optional("limits.conn_idle_ns")?
            .unwrap_or(DEFAULT_IDLE_TIMEOUT_NS),
        retry_after: values.max_retry_after()?,
        gossip_allowed: values.or_default("limits.peers")?,
        health_checks_allowed: values.or_default("limits.may_probe")?,
        load_report_fields: values.list("reporting.fields"),
        classes,
    })
}

/// Returns an error if a class requires a second step: the protocol has no messages for it, and
/// answers without it would be incomplete.
fn reject_second_steps(
    values: &KeyValues,
    class_count: usize,
) -> Result<(), PlatformSettingsError> {
    let key = "extra.second_step";
    for class in 0..class_count {
        if values.item::<u32>(key, class)? > 0 {
            return Err(PlatformSettingsError::UnsupportedSecondStep { key });
        }
    }
    Ok(())
}

fn class_ratios(
    values: &KeyValues,
    key: &str,
    class_count: usize,
) -> Result<Vec<f64>, PlatformSettingsError> {
    (0..class_count)
        .map(|class| values.ratio_item(key, class))
        .collect()
}
