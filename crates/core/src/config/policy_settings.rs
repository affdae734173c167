//! Settings of the policy. Only this file maps the platform's keys to their fields.

use super::key_values::KeyValues;
use super::PlatformSettingsError;
use crate::api::{Idempotency, Nanos, PolicySettings, QueryClass, RetryBudget};

/// Default if the setting is absent: a draining leaf server gets no new work after 2 s.
const DEFAULT_DRAIN_NOTICE_NS: Nanos = 2_000_000_000;

/// Parses the policy's settings from lines of `key=value`.
///
/// # Errors
///
/// Returns an error if a required key is missing or a value is invalid.
pub fn parse_policy_settings(text: &str) -> Result<PolicySettings, PlatformSettingsError> {
    let values = KeyValues::parse(text)?;
    let class_count = values.positive("classes.count")? as usize;
    let classes = (0..class_count)
        .map(|index| parse_class(&values, index))
        .collect::<Result<_, _>>()?;
    Ok(PolicySettings {
        classes,
        zone: values.or_default("my_zone")?,
        cross_zone_price: values
            .non_negative("tariffs.cross_zone")?
            .unwrap_or_default(),
        placement_cells: values.positive_u32("extra.places")?,
        cells_per_shard: values.positive_u32("extra.reach")?,
        max_parts_per_call: values.optional("extra.bundle_max")?,
        aggregators: values.positive_u32("replicas_of_me")?,
        min_batch_interval: values.positive("tick_ns")?,
        max_attempts: values.optional("limits.max_attempts")?,
        cancellation_allowed: values.or_default("limits.cancelling")?,
        retries_marked: values.or_default("callers.marks_retry")?,
        hedging_allowed: values.or_default("limits.may_duplicate")?,
        health_checks_allowed: values.or_default("limits.may_probe")?,
        max_retry_after: values.max_retry_after()?.unwrap_or_default(),
        initial_capacity: values.non_negative("guarantees.cold_from")?,
        warm_up_time: values.or_default("guarantees.cold_ns")?,
        overload_multiple: values.non_negative("guarantees.fall_multiple")?,
        overload_window: values.or_default("guarantees.fall_ns")?,
        retry_budget: parse_retry_budget(&values)?,
        idle_timeout: values.or_default("limits.conn_idle_ns")?,
        drain_notice: values
            .optional("guarantees.stop_sending_within_ns")?
            .filter(|notice| *notice > 0)
            .unwrap_or(DEFAULT_DRAIN_NOTICE_NS),
        endpoint_list_polled: values.raw("discovery") == Some("on_request"),
        poll_interval: values.or_default("guarantees.ask_within_ns")?,
    })
}

fn parse_class(values: &KeyValues, index: usize) -> Result<QueryClass, PlatformSettingsError> {
    let key = |name: &str| format!("classes.{index}.{name}");
    let idempotency = parse_idempotency(values, &key("semantics"))?;
    let late_value = values.non_negative(&key("late_value"))?;
    Ok(QueryClass {
        latency_objective: values.positive(&key("aim_ns"))?,
        objective_stretch: values.non_negative(&key("aim_stretch"))?,
        deadline: values.positive(&key("give_up_ns"))?,
        idempotency,
        idempotency_window: values.or_default(&key("dedup_window_ns"))?,
        priority_weight: values.non_negative(&key("importance"))?,
        late_value: late_value.unwrap_or_default(),
        completeness_threshold: values.ratio_item("extra.class_need", index)?,
        minimum_coverage: values.ratio_item("extra.least_share", index)?,
        partial_value: values.ratio_item("extra.partial_earns", index)?,
        second_step_parts: values.item("extra.second_step", index)?,
    })
}

fn parse_idempotency(values: &KeyValues, key: &str) -> Result<Idempotency, PlatformSettingsError> {
    match values.required::<String>(key)?.as_str() {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::IdempotentWithKey),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(PlatformSettingsError::invalid_value(key, other)),
    }
}

fn parse_retry_budget(values: &KeyValues) -> Result<Option<RetryBudget>, PlatformSettingsError> {
    let minimum = values.non_negative("guarantees.extra_floor")?;
    let ratio = values.non_negative("guarantees.budget_share")?;
    let window = values.optional("guarantees.budget_span_ns")?;
    Ok(match (minimum, ratio, window) {
        (None, None, _) | (_, _, None) => None,
        (minimum, ratio, Some(window)) => Some(RetryBudget {
            minimum: minimum.unwrap_or_default(),
            ratio: ratio.unwrap_or_default(),
            window,
        }),
    })
}
