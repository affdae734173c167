//! Reduces the partial aggregations of the shards.

use super::ordering::compare_sort_values;
use crate::query_dsl::{Aggregation, SortOrder};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// One bucket of a `terms`, `histogram` or `date_histogram` aggregation.
struct Bucket {
    key: Value,
    doc_count: u64,
}

impl Bucket {
    fn into_json(self) -> Value {
        json!({"key": self.key, "doc_count": self.doc_count})
    }
}

/// Reduces the partial results of the shards to the final result of one aggregation.
pub(super) fn reduce(aggregation: &Aggregation, partials: &[Value]) -> Value {
    match aggregation {
        Aggregation::Min(_) => json!({"value": min_of(partials, "value")}),
        Aggregation::Max(_) => json!({"value": max_of(partials, "value")}),
        Aggregation::Sum(_) => json!({"value": sum_of(partials, "value")}),
        Aggregation::ValueCount(_) => json!({"value": count_of(partials, "value")}),
        Aggregation::Avg(_) => json!({"value": average_of(partials)}),
        Aggregation::Stats(_) => json!({
            "count": count_of(partials, "count"),
            "min": min_of(partials, "min"),
            "max": max_of(partials, "max"),
            "avg": average_of(partials),
            "sum": sum_of(partials, "sum"),
        }),
        Aggregation::Terms(terms) => reduce_terms(terms.size as usize, partials),
        Aggregation::Histogram(_) | Aggregation::DateHistogram(_) => reduce_histogram(partials),
    }
}

/// Returns the finite numbers under `key` in the partial results.
fn numbers<'a>(partials: &'a [Value], key: &'a str) -> impl Iterator<Item = f64> + 'a {
    partials
        .iter()
        .filter_map(move |partial| partial.get(key).and_then(Value::as_f64))
        .filter(|number| number.is_finite())
}

fn min_of(partials: &[Value], key: &str) -> Option<f64> {
    numbers(partials, key).min_by(f64::total_cmp)
}

fn max_of(partials: &[Value], key: &str) -> Option<f64> {
    numbers(partials, key).max_by(f64::total_cmp)
}

fn sum_of(partials: &[Value], key: &str) -> f64 {
    numbers(partials, key).sum()
}

fn count_of(partials: &[Value], key: &str) -> u64 {
    partials.iter().map(|partial| count(partial, key)).sum()
}

/// Returns the sum of all shards divided by their count, or `None` if the count is zero.
fn average_of(partials: &[Value]) -> Option<f64> {
    let count = count_of(partials, "count");
    (count > 0).then(|| sum_of(partials, "sum") / count as f64)
}

/// Returns the unsigned integer under `key`, or 0 if the key is missing or has another type.
fn count(partial: &Value, key: &str) -> u64 {
    partial.get(key).and_then(Value::as_u64).unwrap_or(0)
}

/// A bucket in the partial result of a shard.
struct PartialBucket<'a> {
    key: &'a Value,
    doc_count: u64,
}

impl PartialBucket<'_> {
    /// Returns `None` if the bucket is malformed.
    fn parse(bucket: &Value) -> Option<PartialBucket<'_>> {
        Some(PartialBucket {
            key: bucket.get("key")?,
            doc_count: bucket.get("doc_count")?.as_u64()?,
        })
    }
}

/// Returns the buckets of one partial result, without the malformed ones.
fn buckets(partial: &Value) -> impl Iterator<Item = PartialBucket<'_>> {
    let buckets = partial.get("buckets").and_then(Value::as_array);
    buckets
        .into_iter()
        .flatten()
        .filter_map(PartialBucket::parse)
}

/// Sums the document counts of all partial results by key, sorted by the JSON text of the keys.
fn sum_buckets(partials: &[Value]) -> Vec<Bucket> {
    let mut sums: BTreeMap<String, Bucket> = BTreeMap::new();
    for PartialBucket { key, doc_count } in partials.iter().flat_map(buckets) {
        let sum = sums.entry(key.to_string()).or_insert_with(|| Bucket {
            key: key.clone(),
            doc_count: 0,
        });
        sum.doc_count = sum.doc_count.saturating_add(doc_count);
    }
    sums.into_values().collect()
}

/// Sums the buckets of all partial results and sorts them by key.
fn reduce_histogram(partials: &[Value]) -> Value {
    let mut buckets = sum_buckets(partials);
    buckets.sort_by(|left, right| compare_sort_values(&left.key, &right.key, SortOrder::Asc));
    let buckets: Vec<Value> = buckets.into_iter().map(Bucket::into_json).collect();
    json!({ "buckets": buckets })
}

/// Reduces `terms` results to the `size` most frequent terms and an upper bound on the error of
/// their counts.
fn reduce_terms(size: usize, partials: &[Value]) -> Value {
    let error_bound: u64 = partials.iter().map(terms_error_bound).sum();
    let omitted_by_shards: u64 = partials.iter().map(omitted_doc_count).sum();
    let mut buckets = sum_buckets(partials);
    buckets.sort_by(|left, right| {
        let by_count = right.doc_count.cmp(&left.doc_count);
        by_count.then_with(|| compare_sort_values(&left.key, &right.key, SortOrder::Asc))
    });
    let counts_beyond_size = buckets.iter().skip(size).map(|bucket| bucket.doc_count);
    let other_doc_count = omitted_by_shards + counts_beyond_size.sum::<u64>();
    let buckets = buckets.into_iter().take(size);
    let top_buckets: Vec<Value> = buckets.map(Bucket::into_json).collect();
    json!({
        "doc_count_error_upper_bound": error_bound,
        "sum_other_doc_count": other_doc_count,
        "buckets": top_buckets,
    })
}

/// Returns the number of documents whose terms a shard omitted from its partial result.
fn omitted_doc_count(partial: &Value) -> u64 {
    count(partial, "sum_other_doc_count")
}

/// Returns an upper bound on the number of documents that a shard's count of one term may lack.
///
/// The bound is the error that the shard itself reports. If the shard omitted terms, the count of
/// its least frequent returned term is added, because an omitted term cannot have a higher count.
fn terms_error_bound(partial: &Value) -> u64 {
    let reported_bound = count(partial, "doc_count_error_upper_bound");
    if omitted_doc_count(partial) == 0 {
        return reported_bound;
    }
    let least_frequent = buckets(partial).map(|bucket| bucket.doc_count).min();
    least_frequent.unwrap_or(0) + reported_bound
}
