//! Serialized HTTP requests of the clients.

use aggregator_testkit::http::HOST;
use aggregator_testkit::installation::{CLASSES, SHARDS, TENANTS};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::time::Duration;

/// Number of shards of each query.
const SHARDS_PER_QUERY: u32 = 3;
/// Number of searches in one request, more than the gateway runs concurrently.
const SEARCHES_PER_REQUEST: usize = 12;

/// Returns a random query for the native frontend, with the client timeout `timeout`.
pub fn render_query(random: &mut StdRng, name: &str, timeout: Duration) -> String {
    let class = random_class(random);
    let tenant = TENANTS[random.random_range(0..TENANTS.len())];
    let first_shard = random.random_range(0..SHARDS);
    let weight = 1.0 / f64::from(SHARDS_PER_QUERY);
    let shards: Vec<Value> = (0..SHARDS_PER_QUERY)
        .map(|offset| json!({"shard": (first_shard + offset) % SHARDS, "weight": weight}))
        .collect();
    let body = json!({"shards": shards, "q": "shutdown"}).to_string();
    let timeout_ms = timeout.as_millis();
    let length = body.len();
    format!(
        "POST /{class} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-ID: {name}\r\n\
         X-Tenant-Id: {tenant}\r\nX-Timeout: {timeout_ms}m\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns one request to the OpenSearch gateway with many searches of a random class.
pub fn render_searches(random: &mut StdRng, name: &str) -> String {
    let class = random_class(random);
    let search = json!({"query": {"match_all": {}}}).to_string();
    let body = format!("{{}}\n{search}\n").repeat(SEARCHES_PER_REQUEST);
    let length = body.len();
    format!(
        "POST /{class}/_msearch HTTP/1.1\r\nHost: {HOST}\r\nX-Opaque-Id: {name}\r\n\
         Content-Type: application/x-ndjson\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn random_class(random: &mut StdRng) -> &'static str {
    CLASSES[random.random_range(0..CLASSES.len())].name
}
