//! Renders successful responses as JSON.

use crate::merge::{MergedResult, Relation, ShardFailure, ShardHit, Total};
use crate::query_dsl::{SearchRequest, TrackTotalHits};
use serde::Serialize;
use serde_json::{json, Map, Value};
use std::time::Duration;

/// Number of hits up to which totals are exact if the search does not set `track_total_hits`.
const DEFAULT_TRACK_TOTAL_HITS: u64 = 10_000;

/// A shard without a usable answer.
#[derive(Debug)]
pub(crate) struct FailedShard {
    pub(crate) shard: u32,
    pub(crate) failure: ShardFailure,
}

/// Number of shards of a search by outcome, and the failures of individual shards.
#[derive(Debug, Default)]
pub(crate) struct ShardSummary {
    pub(crate) total: usize,
    /// Number of shards with a usable answer.
    pub(crate) successful: usize,
    pub(crate) failures: Vec<FailedShard>,
}

impl ShardSummary {
    /// Returns the `_shards` member of a response.
    fn to_json(&self, index: &str) -> Value {
        let mut summary = json!({
            "total": self.total,
            "successful": self.successful,
            "skipped": 0,
            "failed": self.failures.len(),
        });
        if !self.failures.is_empty() {
            summary["failures"] = self.failures_json(index);
        }
        summary
    }

    /// Returns the failed shards with their reasons, as a JSON array.
    pub(crate) fn failures_json(&self, index: &str) -> Value {
        let failure_json = |failed_shard: &FailedShard| {
            let reason = json!({
                "type": failed_shard.failure.kind(),
                "reason": failed_shard.failure.to_string(),
            });
            json!({"shard": failed_shard.shard, "index": index, "node": null, "reason": reason})
        };
        self.failures.iter().map(failure_json).collect()
    }
}

#[derive(Serialize)]
struct SearchResponse<'a> {
    took: u64,
    timed_out: bool,
    #[serde(rename = "_shards")]
    shards: Value,
    hits: HitsSection<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    aggregations: Option<&'a Map<String, Value>>,
}

#[derive(Serialize)]
struct HitsSection<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    total: Option<Total>,
    max_score: Option<f64>,
    hits: Vec<IndexedHit<'a>>,
}

/// A hit with the name of the index that contains it.
#[derive(Serialize)]
struct IndexedHit<'a> {
    #[serde(rename = "_index")]
    index: &'a str,
    #[serde(flatten)]
    hit: &'a ShardHit,
}

/// Returns the total in the form that the client requested.
///
/// The result is `None` if the client disabled counting or no shard counted the hits. A total above
/// the requested maximum is replaced by the maximum as a lower bound.
fn reported_total(request: &SearchRequest, total: Option<Total>) -> Option<Total> {
    let max_value = match request.track_total_hits {
        Some(TrackTotalHits::Enabled(false)) => return None,
        Some(TrackTotalHits::Enabled(true)) => return total,
        Some(TrackTotalHits::UpTo(max_value)) => max_value,
        None => DEFAULT_TRACK_TOTAL_HITS,
    };
    total.map(|total| {
        if total.value <= max_value {
            return total;
        }
        Total {
            value: max_value,
            relation: Relation::Gte,
        }
    })
}

/// Returns the body of the response to a search.
pub(crate) fn search_response(
    index: &str,
    request: &SearchRequest,
    took: Duration,
    shards: &ShardSummary,
    merged: &MergedResult,
) -> Vec<u8> {
    let hits = merged.hits.iter();
    to_json_bytes(&SearchResponse {
        took: took.as_millis() as u64,
        timed_out: shards.successful < shards.total,
        shards: shards.to_json(index),
        hits: HitsSection {
            total: reported_total(request, merged.total),
            max_score: merged.max_score,
            hits: hits.map(|hit| IndexedHit { index, hit }).collect(),
        },
        aggregations: (!request.aggs.is_empty()).then_some(&merged.aggregations),
    })
}

/// Returns the body of the response to a count.
pub(crate) fn count_response(index: &str, shards: &ShardSummary, count: u64) -> Vec<u8> {
    to_json_bytes(&json!({"count": count, "_shards": shards.to_json(index)}))
}

/// Serializes a value as JSON. Serialization cannot fail, because all maps have string keys.
pub(crate) fn to_json_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
