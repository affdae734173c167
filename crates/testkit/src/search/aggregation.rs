//! Aggregations over matching documents.

use super::documents::DAY_MS;
use super::ranking::{compare_values, RankingOrder, SearchHit};
use serde_json::{json, Value};
use std::cmp::Ordering;
use std::collections::BTreeMap;

const DEFAULT_TERMS_BUCKETS: u64 = 10;

/// Computes one aggregation over all `hits`. The counts of `terms` buckets are exact.
pub fn aggregate(aggregation: &Value, hits: &[SearchHit]) -> Value {
    let Some((kind, body)) = aggregation
        .as_object()
        .and_then(|kinds| kinds.iter().next())
    else {
        return Value::Null;
    };
    let field = body["field"].as_str().unwrap_or_default();
    let values: Vec<&Value> = hits
        .iter()
        .filter_map(|hit| hit.source.get(field))
        .collect();
    let numbers: Vec<f64> = values.iter().filter_map(|value| value.as_f64()).collect();
    match kind.as_str() {
        "value_count" => json!({"value": values.len()}),
        "terms" => terms(body, values),
        "min" | "max" | "sum" | "avg" | "stats" => metric(kind, &numbers),
        _ => histogram(body, &numbers),
    }
}

fn metric(kind: &str, numbers: &[f64]) -> Value {
    let minimum = numbers.iter().copied().min_by(f64::total_cmp);
    let maximum = numbers.iter().copied().max_by(f64::total_cmp);
    let sum: f64 = numbers.iter().sum();
    let average = (!numbers.is_empty()).then(|| sum / numbers.len() as f64);
    match kind {
        "min" => json!({"value": minimum}),
        "max" => json!({"value": maximum}),
        "sum" => json!({"value": sum}),
        "avg" => json!({"value": average}),
        _ => json!({
            "count": numbers.len(), "min": minimum, "max": maximum, "avg": average, "sum": sum,
        }),
    }
}

struct Bucket {
    key: Value,
    count: u64,
}

fn terms(body: &Value, values: Vec<&Value>) -> Value {
    let mut buckets = count_by_key(values.into_iter().cloned());
    buckets.sort_by(|left, right| {
        let by_count = right.count.cmp(&left.count);
        by_count.then_with(|| compare_keys(left, right))
    });
    let size = body["size"].as_u64().unwrap_or(DEFAULT_TERMS_BUCKETS) as usize;
    let other_documents: u64 = buckets.iter().skip(size).map(|bucket| bucket.count).sum();
    buckets.truncate(size);
    json!({
        "doc_count_error_upper_bound": 0,
        "sum_other_doc_count": other_documents,
        "buckets": buckets_json(&buckets),
    })
}

/// Computes a `histogram`, or a `date_histogram` with an interval in days.
fn histogram(body: &Value, numbers: &[f64]) -> Value {
    let interval = body["interval"].as_f64().unwrap_or_else(|| {
        let text = body["fixed_interval"].as_str().unwrap_or("1d");
        let days = text.trim_end_matches('d').parse::<f64>().unwrap_or(1.0);
        days * DAY_MS as f64
    });
    let lower_bound = |number: &f64| json!((number / interval).floor() * interval);
    let mut buckets = count_by_key(numbers.iter().map(lower_bound));
    buckets.sort_by(compare_keys);
    json!({ "buckets": buckets_json(&buckets) })
}

fn count_by_key(keys: impl Iterator<Item = Value>) -> Vec<Bucket> {
    let mut buckets: BTreeMap<String, Bucket> = BTreeMap::new();
    for key in keys {
        let bucket = buckets
            .entry(key.to_string())
            .or_insert(Bucket { key, count: 0 });
        bucket.count += 1;
    }
    buckets.into_values().collect()
}

fn compare_keys(left: &Bucket, right: &Bucket) -> Ordering {
    compare_values(&left.key, &right.key, RankingOrder::Ascending)
}

fn buckets_json(buckets: &[Bucket]) -> Value {
    buckets
        .iter()
        .map(|bucket| json!({"key": bucket.key, "doc_count": bucket.count}))
        .collect()
}
