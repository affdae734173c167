//! The settings that the aggregator needs outside of the policy. The keys are the platform's; only
//! here they are mapped to fields.

use super::key_values::KeyValues;
use super::PlatformSettingsError;
use crate::api::Nanos;

// Bounds on memory and waiting times, used if the setting is absent.
const DEFAULT_MAX_OPEN: usize = 4096;
const DEFAULT_MAX_ATTEMPTS: usize = u8::MAX as usize;
const DEFAULT_CONNECT_TIMEOUT_NS: Nanos = 250_000_000;
const DEFAULT_IDLE_TIMEOUT_NS: Nanos = 30_000_000_000;

/// The settings of the aggregator that are not the policy's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AggregatorSettings {
    /// The names of the query classes, by number.
    pub classes: Vec<String>,
    /// The names of the tenants, by number.
    pub tenants: Vec<String>,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The zone of this aggregator, by number.
    pub zone: u16,
    /// For each class, the longest that a client waits.
    pub deadlines: Vec<Nanos>,
    /// For each class, the share of the weight that a complete answer covers.
    pub completeness_thresholds: Vec<f64>,
    /// For each class, the minimum share of the weight that an answer must cover.
    pub minimum_coverages: Vec<f64>,
    /// The number of shards.
    pub shards: u32,
    /// The most parts of one call to a leaf server.
    pub max_parts_per_call: usize,
    /// The most parts that are in flight on one connection.
    pub max_streams: usize,
    /// The most attempts of one part.
    pub max_attempts: usize,
    /// No query is accepted while so many queries and parts, in sum, are open.
    pub max_open: usize,
    /// How long a connection to a leaf server may take to open.
    pub connect_timeout: Nanos,
    /// A leaf server closes a connection that has been idle for this time; we close it earlier.
    pub idle_timeout: Nanos,
    /// The `Retry-After` for a client rejected on arrival; none where the settings allow none.
    pub retry_after: Option<Nanos>,
    /// Aggregators may exchange gossip messages.
    pub gossip_allowed: bool,
    /// Leaf servers may be sent health checks.
    pub health_checks_allowed: bool,
    /// Names of the values in a load report; empty where nothing is reported.
    pub load_report_fields: Vec<String>,
}

/// Parses the aggregator's settings from lines of `key=value`.
///
/// # Errors
///
/// A required key is missing, or the value of a key can't be used.
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

/// The protocol has no messages for a second step, and answers without it would be incomplete.
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
