//! Settings, endpoint lists and queries for the inputs of an engine.

use aggregator_core::protocol::discovery::EndpointUpdate;
use aggregator_core::protocol::query::{QueryPart, QueryRequest};
use bytes::Bytes;

/// One millisecond, in nanoseconds.
pub const MS: u64 = 1_000_000;
/// Settings with production values. Class 0 accepts partial answers, class 1 needs every part.
pub const SETTINGS: &str = "classes.count=2\nclasses.0.name=report\nclasses.0.aim_ns=2000000000\n\
classes.0.give_up_ns=5000000000\nclasses.0.semantics=read_like\nclasses.1.name=lookup\n\
classes.1.aim_ns=2000000000\nclasses.1.give_up_ns=6000000000\nclasses.1.semantics=read_like\n\
extra.places=1\nextra.reach=1\nextra.ranges=8\nextra.class_need=1.0,1.0\nextra.least_share=0.6,1.0\n\
extra.partial_earns=0.9,0.9\nextra.second_step=0,0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\nlimits.streams_per_conn=4\n\
limits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\nlimits.open_cap=60\n\
limits.max_retry_after_ns=500000000\nlimits.retry_after=true\nlocalities=north,south\n";

/// Returns the address of a replica.
pub fn address(replica: u64) -> String {
    format!("127.0.{}.{}:7070", replica / 256, replica % 256)
}

/// One line of the endpoint list. `started` is in nanoseconds.
pub struct ListLine<'a> {
    pub replica: u64,
    pub status: &'a str,
    pub started: u64,
}

/// Returns a message from discovery: a snapshot of the endpoint list, or the lines that have
/// changed.
pub fn endpoint_update(index: u64, snapshot: bool, lines: &[ListLine]) -> EndpointUpdate {
    let line = |line: &ListLine| {
        serde_json::json!({"name": format!("s-{}", line.replica), "address": address(line.replica),
            "zone": "north", "type": "m", "group": 0, "status": line.status, "weight": 1.0,
            "since_ms": line.started / MS})
    };
    let lines: Vec<_> = lines.iter().map(line).collect();
    serde_json::from_value(
        serde_json::json!({"index": index, "snapshot": snapshot, "endpoints": lines}),
    )
    .expect("valid endpoint list")
}

/// Returns a query with one part per weight, on consecutive shards from 0.
pub fn query(name: &str, class: u16, weights: &[f64], timeout_ms: u64) -> QueryRequest {
    let part = |(shard, weight): (usize, &f64)| QueryPart {
        shard: shard as u32,
        weight: *weight,
        work: None,
    };
    QueryRequest {
        name: name.into(),
        class,
        tenant: 0,
        timeout: timeout_ms * MS,
        is_retry: false,
        idempotency_key: None,
        parts: weights.iter().enumerate().map(part).collect(),
        text: Bytes::from_static(b"c41e77d0"),
    }
}
