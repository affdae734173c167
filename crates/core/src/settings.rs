//! The settings, `path=value` a line, as the module's [`Settings`] and as the [`Site`] that the
//! sockets need. Keys that are not known are skipped; a key that is missing where it is needed, or
//! out of range, is named in the error. The simulator's wire carries this text; a real mixer's JSON
//! is flattened to it first.

use crate::api::{Idempotency, QueryClass, RetryBudget, Settings};
use std::collections::BTreeMap;
use std::str::FromStr;

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn read(text: &'a str) -> Result<Self, String> {
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let split =
            |line| str::split_once(line, '=').ok_or(format!("settings line without '=': {line}"));
        lines.map(split).collect::<Result<_, _>>().map(Pairs)
    }

    /// The items of a list of plain values.
    fn list(&self, key: &str) -> Vec<String> {
        let items = self.0.get(key).into_iter().flat_map(|text| text.split(','));
        items
            .filter(|item| !item.is_empty())
            .map(str::to_string)
            .collect()
    }

    /// The names of a list of objects.
    fn names(&self, list: &str) -> Result<Vec<String>, String> {
        let count = self
            .get::<usize>(&format!("{list}.count"))?
            .unwrap_or_default();
        (0..count)
            .map(|i| self.required(&format!("{list}.{i}.name")))
            .collect()
    }

    fn get<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        let parse = |text: &&str| {
            text.parse()
                .map_err(|_| format!("setting {key}: bad value '{text}'"))
        };
        self.0.get(key).map(parse).transpose()
    }

    fn required<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.get(key)?.ok_or(format!("setting {key} is missing"))
    }

    /// A number that is finite and not below zero.
    fn number(&self, key: &str) -> Result<Option<f64>, String> {
        let value = self.get::<f64>(key)?;
        match value {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(format!("setting {key}: {number} is out of range"))
            }
            _ => Ok(value),
        }
    }

    /// A whole number above zero.
    fn positive(&self, key: &str) -> Result<u64, String> {
        match self.required(key)? {
            0 => Err(format!("setting {key}: 0 is out of range")),
            number => Ok(number),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.get(key)?.unwrap_or_default())
    }

    fn time(&self, key: &str) -> Result<u64, String> {
        Ok(self.get(key)?.unwrap_or_default())
    }

    /// Item `i` of a list with one number, from 0 to 1, for each class.
    fn share(&self, key: &str, i: usize) -> Result<f64, String> {
        let number: f64 = self.item(key, i)?;
        let fits = (0.0..=1.0).contains(&number);
        fits.then_some(number)
            .ok_or(format!("setting {key}: {number} is out of range"))
    }

    fn item<T: FromStr>(&self, key: &str, i: usize) -> Result<T, String> {
        let list = self.0.get(key).ok_or(format!("setting {key} is missing"))?;
        let item = list
            .split(',')
            .nth(i)
            .ok_or(format!("setting {key} has no item {i}"))?;
        item.parse()
            .map_err(|_| format!("setting {key}: bad value '{item}'"))
    }
}

pub fn parse(text: &str) -> Result<Settings, String> {
    let pairs = Pairs::read(text)?;
    let classes: Vec<QueryClass> = (0..pairs.positive("classes.count")? as usize)
        .map(|i| class(&pairs, i))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        zone: pairs.get("my_zone")?.unwrap_or_default(),
        cross_zone_price: pairs.number("tariffs.cross_zone")?.unwrap_or_default(),
        placement_cells: number32(&pairs, "extra.places")?,
        cells_per_shard: number32(&pairs, "extra.reach")?,
        max_parts_per_call: pairs.get("extra.bundle_max")?,
        aggregators: number32(&pairs, "replicas_of_me")?,
        tick: pairs.positive("tick_ns")?,
        max_attempts: pairs.get("limits.max_attempts")?,
        cancellation_allowed: pairs.flag("limits.cancelling")?,
        retries_marked: pairs.flag("callers.marks_retry")?,
        hedging_allowed: pairs.flag("limits.may_duplicate")?,
        health_checks_allowed: pairs.flag("limits.may_probe")?,
        max_retry_after: retry_after(&pairs)?.unwrap_or_default(),
        initial_capacity: pairs.number("guarantees.cold_from")?,
        warm_up_time: pairs.time("guarantees.cold_ns")?,
        overload_multiple: pairs.number("guarantees.fall_multiple")?,
        overload_window: pairs.time("guarantees.fall_ns")?,
        retry_budget: retry_budget(&pairs)?,
        idle_timeout: pairs.time("limits.conn_idle_ns")?,
        drain_notice: pairs
            .get("guarantees.stop_sending_within_ns")?
            .filter(|it| *it > 0)
            .unwrap_or(DEFAULT_DRAIN_NOTICE),
        endpoint_list_polled: pairs.0.get("discovery") == Some(&"on_request"),
        poll_interval: pairs.time("guarantees.ask_within_ns")?,
    })
}

/// The longest advice on when to come back; none where the settings allow none.
fn retry_after(pairs: &Pairs) -> Result<Option<u64>, String> {
    let longest = pairs.time("limits.max_retry_after_ns")?;
    let allowed = pairs.flag("limits.retry_after")?;
    Ok(Some(longest).filter(|longest| allowed && *longest > 0))
}

fn number32(pairs: &Pairs, key: &str) -> Result<u32, String> {
    u32::try_from(pairs.positive(key)?).map_err(|_| format!("setting {key} is out of range"))
}

fn class(pairs: &Pairs, i: usize) -> Result<QueryClass, String> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let idempotency = match pairs.required::<String>(&key("semantics"))?.as_str() {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::IdempotentWithKey,
        "non_idempotent" => Idempotency::NonIdempotent,
        other => return Err(format!("setting {}: bad value '{other}'", key("semantics"))),
    };
    let late_value = pairs.number(&key("late_value"))?.unwrap_or_default();
    Ok(QueryClass {
        latency_objective: pairs.positive(&key("aim_ns"))?,
        objective_stretch: pairs.number(&key("aim_stretch"))?,
        deadline: pairs.positive(&key("give_up_ns"))?,
        idempotency,
        idempotency_window: pairs.time(&key("dedup_window_ns"))?,
        priority_weight: pairs.number(&key("importance"))?,
        late_value,
        completeness_threshold: pairs.share("extra.class_need", i)?,
        minimum_coverage: pairs.share("extra.least_share", i)?,
        partial_value: pairs.share("extra.partial_earns", i)?,
        second_step_parts: pairs.item("extra.second_step", i)?,
    })
}

fn retry_budget(pairs: &Pairs) -> Result<Option<RetryBudget>, String> {
    let minimum = pairs.number("guarantees.extra_floor")?;
    let ratio = pairs.number("guarantees.budget_share")?;
    let window = pairs.get("guarantees.budget_span_ns")?;
    Ok(match (minimum, ratio, window) {
        (None, None, _) | (_, _, None) => None,
        (minimum, ratio, Some(window)) => Some(RetryBudget {
            minimum: minimum.unwrap_or_default(),
            ratio: ratio.unwrap_or_default(),
            window,
        }),
    })
}

/// What the sockets have to know beside the decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// Where this mixer is, by number.
    pub zone: u16,
    /// For each class: the longest that a client waits, the share a whole answer completeness_thresholds, the least
    /// share.
    pub deadlines: Vec<u64>,
    pub completeness_thresholds: Vec<f64>,
    pub minimum_coverages: Vec<f64>,
    pub shards: u32,
    pub max_parts_per_call: usize,
    pub max_streams: usize,
    pub max_attempts: usize,
    /// Queries and parts that may be open.
    pub max_open: usize,
    pub connect_timeout: u64,
    pub idle_timeout: u64,
    /// What a refused client is told at most of when to come back, where it may be told.
    pub retry_after: Option<u64>,
    pub gossip_allowed: bool,
    pub health_checks_allowed: bool,
    /// Names of the values in a load report; none where nothing is reported.
    pub load_report_fields: Vec<String>,
}

pub fn site(text: &str) -> Result<Site, String> {
    let pairs = Pairs::read(text)?;
    let classes = pairs.names("classes")?;
    let each = |key: &str| {
        (0..classes.len())
            .map(|i| pairs.share(key, i))
            .collect::<Result<_, _>>()
    };
    for i in 0..classes.len() {
        // The protocol has no words for a second step; half of one would break answers.
        if pairs.item::<u32>("extra.second_step", i)? > 0 {
            return Err("setting extra.second_step: a second step can't be served".into());
        }
    }
    let deadlines = (0..classes.len()).map(|i| pairs.positive(&format!("classes.{i}.give_up_ns")));
    Ok(Site {
        deadlines: deadlines.collect::<Result<_, _>>()?,
        completeness_thresholds: each("extra.class_need")?,
        minimum_coverages: each("extra.least_share")?,
        tenants: pairs.names("orgs")?,
        zones: pairs.list("localities"),
        zone: pairs.get("my_zone")?.unwrap_or_default(),
        shards: number32(&pairs, "extra.ranges")?,
        max_parts_per_call: pairs.get("extra.bundle_max")?.unwrap_or(1).max(1),
        max_streams: pairs.get("limits.streams_per_conn")?.unwrap_or(1).max(1),
        max_attempts: pairs
            .get("limits.max_attempts")?
            .unwrap_or(usize::from(u8::MAX)),
        max_open: pairs.get("limits.open_cap")?.unwrap_or(DEFAULT_MAX_OPEN),
        connect_timeout: pairs
            .get("limits.connect_timeout_ns")?
            .unwrap_or(DEFAULT_CONNECT_TIMEOUT),
        idle_timeout: pairs
            .get("limits.conn_idle_ns")?
            .unwrap_or(DEFAULT_IDLE_TIMEOUT),
        retry_after: retry_after(&pairs)?,
        gossip_allowed: pairs.flag("limits.peers")?,
        health_checks_allowed: pairs.flag("limits.may_probe")?,
        load_report_fields: pairs.list("reporting.fields"),
        classes,
    })
}

/// Where the settings are silent: bounds that keep memory and waits in hand.
const DEFAULT_MAX_OPEN: usize = 4096;
const DEFAULT_DRAIN_NOTICE: u64 = 2_000_000_000;
const DEFAULT_CONNECT_TIMEOUT: u64 = 250_000_000;
const DEFAULT_IDLE_TIMEOUT: u64 = 30_000_000_000;
