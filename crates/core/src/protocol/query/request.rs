//! Parses the HTTP requests of clients.

use super::{ClientRequest, NameTables, QueryPart, QueryRequest};
use crate::api::Nanos;
use crate::protocol::http::{Request, RequestError};
use bytes::Bytes;
use serde::Deserialize;
use std::collections::BTreeSet;

/// Maximum length of `X-Request-ID`.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Maximum length of `Idempotency-Key`.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Maximum difference between 1 and the sum of a query's weights, each of which is rounded.
const WEIGHT_TOLERANCE: f64 = 0.01;
/// One hour, which is longer than any client timeout or work. Larger values could overflow sums of
/// times.
const MAX_DURATION_NS: f64 = 3.6e12;
const NANOS_PER_MILLI: f64 = 1e6;
const NANOS_PER_MICRO: f64 = 1e3;

#[derive(Deserialize)]
struct QueryBody {
    shards: Vec<ShardEntry>,
    q: String,
}

#[derive(Deserialize)]
struct ShardEntry {
    shard: u32,
    weight: f64,
    /// Expected work, in microseconds.
    cost: Option<f64>,
}

/// Parses a request of a client.
///
/// # Errors
///
/// Returns an error with the status of the response if the request is invalid.
pub fn parse_request(request: &Request, names: &NameTables) -> Result<ClientRequest, RequestError> {
    let path = request.path.split(['?', '#']).next().unwrap_or_default();
    match path {
        "/-/ready" => require_method(request, "GET").map(|()| ClientRequest::Ready),
        "/-/stats" => require_method(request, "GET").map(|()| ClientRequest::Stats),
        _ => {
            let class = parse_class(path, names)?;
            require_method(request, "POST")?;
            parse_query(request, class, names).map(ClientRequest::Query)
        }
    }
}

fn require_method(request: &Request, allowed: &'static str) -> Result<(), RequestError> {
    if request.method == allowed {
        return Ok(());
    }
    Err(RequestError {
        status: 405,
        why: allowed,
    })
}

/// Returns the number of the class that the first segment of the path names.
fn parse_class(path: &str, names: &NameTables) -> Result<usize, RequestError> {
    let segment = path
        .strip_prefix('/')
        .unwrap_or_default()
        .split('/')
        .next()
        .unwrap_or_default();
    let class = names.classes.iter().position(|name| name == segment);
    class.ok_or(RequestError {
        status: 404,
        why: "no such class",
    })
}

fn parse_query(
    request: &Request,
    class: usize,
    names: &NameTables,
) -> Result<QueryRequest, RequestError> {
    let name = parse_name(request)?;
    let timeout = parse_timeout(request, class, names)?;
    let tenant = parse_tenant(request, names)?;
    let idempotency_key = parse_idempotency_key(request)?;
    let body: QueryBody = serde_json::from_slice(&request.body)
        .map_err(|_| RequestError::bad_request("body is not a query"))?;
    Ok(QueryRequest {
        name: name.to_string(),
        class: class as u16,
        tenant: tenant as u32,
        timeout,
        is_retry: request.header("x-retried") == Some("1"),
        idempotency_key,
        parts: parse_parts(body.shards, names.shards)?,
        text: Bytes::from(body.q),
    })
}

fn parse_name(request: &Request) -> Result<&str, RequestError> {
    let name = request
        .header("x-request-id")
        .ok_or(RequestError::bad_request("X-Request-ID is missing"))?;
    // The id is part of a line that is sent to leaf servers. With a blank or a control character in
    // it, a client could forge fields or lines.
    let is_plain = name.bytes().all(|byte| byte.is_ascii_graphic());
    if name.is_empty() || name.len() > MAX_REQUEST_ID_BYTES || !is_plain {
        return Err(RequestError::bad_request(
            "X-Request-ID is not a plain word",
        ));
    }
    Ok(name)
}

fn parse_timeout(
    request: &Request,
    class: usize,
    names: &NameTables,
) -> Result<Nanos, RequestError> {
    match request.header("x-timeout") {
        Some(text) => parse_duration(text).ok_or(RequestError::bad_request(
            "X-Timeout is not a number and m or u",
        )),
        None => Ok(names.deadlines.get(class).copied().unwrap_or_default()),
    }
}

/// Returns the number of the tenant, or 0 if no tenants are configured.
fn parse_tenant(request: &Request, names: &NameTables) -> Result<usize, RequestError> {
    if names.tenants.is_empty() {
        return Ok(0);
    }
    let tenant = request
        .header("x-tenant-id")
        .ok_or(RequestError::bad_request("X-Tenant-Id is missing"))?
        .replace([' ', ','], "_");
    let number = names.tenants.iter().position(|name| *name == tenant);
    number.ok_or(RequestError::bad_request("unknown tenant"))
}

fn parse_idempotency_key(request: &Request) -> Result<Option<String>, RequestError> {
    match request.header("idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => Err(
            RequestError::bad_request("Idempotency-Key is empty or too long"),
        ),
        key => Ok(key.map(str::to_string)),
    }
}

/// Parses the parts. No two may name the same shard, since they would have the same id at the leaf
/// server.
fn parse_parts(entries: Vec<ShardEntry>, shard_count: u32) -> Result<Vec<QueryPart>, RequestError> {
    if entries.is_empty() {
        return Err(RequestError::bad_request("no shards"));
    }
    let mut seen = BTreeSet::new();
    let mut parts = Vec::with_capacity(entries.len());
    for entry in entries {
        if entry.shard >= shard_count || !seen.insert(entry.shard) {
            return Err(RequestError::bad_request(
                "a shard that does not exist or is named twice",
            ));
        }
        parts.push(parse_part(entry)?);
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() <= WEIGHT_TOLERANCE {
        Ok(parts)
    } else {
        Err(RequestError::bad_request("weights that do not add up to 1"))
    }
}

fn parse_part(entry: ShardEntry) -> Result<QueryPart, RequestError> {
    if !(0.0..=1.0 + WEIGHT_TOLERANCE).contains(&entry.weight) {
        return Err(RequestError::bad_request("a weight that is no share"));
    }
    let work = entry
        .cost
        .filter(|micros| *micros >= 0.0)
        .map(|micros| (micros * NANOS_PER_MICRO).min(MAX_DURATION_NS) as Nanos);
    Ok(QueryPart {
        shard: entry.shard,
        weight: entry.weight,
        work,
    })
}

/// Parses a number followed by `m` (milliseconds) or `u` (microseconds). Returns nanoseconds, at
/// most [`MAX_DURATION_NS`].
fn parse_duration(text: &str) -> Option<Nanos> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let nanos_per_unit = match unit {
        "m" => NANOS_PER_MILLI,
        "u" => NANOS_PER_MICRO,
        _ => return None,
    };
    // Only digits and a point are accepted. `f64` would also parse a sign, an exponent or `nan`,
    // which are mistakes here.
    let is_plain = number
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = number.parse().ok().filter(|_| is_plain)?;
    Some((number * nanos_per_unit).min(MAX_DURATION_NS) as Nanos)
}
