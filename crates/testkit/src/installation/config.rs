//! Contents of an aggregator's files: its platform object and its settings.

use super::layout::{InstallationClass, CLASSES, REPLICA_GROUPS, SHARDS, TENANTS, ZONES};
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const NANOS_PER_MS: u64 = 1_000_000;

/// Values of a platform object that depend on the aggregator or on the options of the installation.
pub(super) struct PlatformParameters<'a> {
    pub(super) name: &'a str,
    /// Index of the aggregator's zone.
    pub(super) zone: usize,
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) seed: u64,
    /// Snapshot of the endpoint list.
    pub(super) endpoints: Value,
    /// Client timeout of all classes; `None` for each class's own.
    pub(super) client_timeout: Option<Duration>,
    /// Latency objective of all classes; `None` for each class's own. Limited to half the client
    /// timeout.
    pub(super) latency_objective: Option<Duration>,
}

/// Returns the platform object that an aggregator is started with. Its keys are defined by the
/// platform's interface.
pub(super) fn platform_object(parameters: &PlatformParameters) -> Value {
    json!({
        "name": parameters.name,
        "listen": parameters.listen,
        "discovery": parameters.discovery,
        "seed": format!("{:016x}", parameters.seed),
        "limits": {"sockets": 1024},
        "known": parameters.endpoints,
        "settings": {
            "classes": CLASSES.map(|class| class_object(&class, parameters)),
            "orgs": TENANTS.map(|name| json!({"name": name})),
            "localities": ZONES,
            "my_zone": parameters.zone,
            "replicas_of_me": ZONES.len(),
            "tick_ns": 5 * NANOS_PER_MS,
            "callers": {"marks_retry": true},
            "tariffs": {"cross_zone": 0.05},
            "extra": extra_object(),
            "limits": limits_object(),
            "guarantees": {
                "cold_from": 0.5,
                "cold_ns": 1000 * NANOS_PER_MS,
                "fall_multiple": 6.0,
                "fall_ns": 2000 * NANOS_PER_MS,
            },
        }
    })
}

fn class_object(class: &InstallationClass, parameters: &PlatformParameters) -> Value {
    let milliseconds = |duration: Duration| duration.as_millis() as u64;
    let timeout_ms = parameters
        .client_timeout
        .map_or(class.timeout_ms, milliseconds);
    let latency_objective_ms = parameters
        .latency_objective
        .map_or(class.latency_objective_ms, milliseconds)
        .min(timeout_ms / 2);
    json!({
        "name": class.name,
        "aim_ns": latency_objective_ms * NANOS_PER_MS,
        "give_up_ns": timeout_ms * NANOS_PER_MS,
        "semantics": "read_like",
        "importance": 1.0,
        "late_value": 0.3,
    })
}

fn extra_object() -> Value {
    json!({
        "places": REPLICA_GROUPS,
        "reach": 2,
        "ranges": SHARDS,
        "bundle_max": 8,
        "class_need": CLASSES.map(|_| 1.0),
        "least_share": CLASSES.map(|class| class.minimum_coverage),
        "partial_earns": CLASSES.map(|_| 0.9),
        "second_step": CLASSES.map(|_| 0),
    })
}

fn limits_object() -> Value {
    json!({
        "cancelling": true,
        "may_duplicate": true,
        "max_attempts": 4,
        "streams_per_conn": 32,
        "connect_timeout_ns": 250 * NANOS_PER_MS,
        "conn_idle_ns": 30_000 * NANOS_PER_MS,
        "open_cap": 4096,
        "max_retry_after_ns": 300 * NANOS_PER_MS,
        "retry_after": true,
    })
}

/// Returns the section of the settings that configures the usage log.
pub(super) fn usage_section(directory: &Path, listen: SocketAddr) -> String {
    format!(
        "[usage]\ndirectory = {}\nmark = 100ms\nsegment = 64KiB\nlisten = {listen}\n",
        directory.display()
    )
}

/// Returns the sections of the settings that configure the OpenSearch gateway, with one index per
/// class.
pub(super) fn gateway_sections(listen: SocketAddr) -> String {
    let mut sections = format!(
        "\n[opensearch]\nlisten = {listen}\ntenant-by = header-or-network\n\
         \n[network loopback]\nprefixes = 127.0.0.0/8, ::1\ntenant = delta\n"
    );
    for class in CLASSES {
        let name = class.name;
        let last_shard = SHARDS - 1;
        let _ = write!(
            sections,
            "\n[index {name}]\nclass = {name}\nshards = 0-{last_shard}\n"
        );
    }
    sections
}
