//! Response of one shard to a search.

use super::aggregation::aggregate;
use super::faults::ShardFault;
use super::ranking::{matching_documents, page, SearchHit};
use serde_json::{json, Map, Value};

/// Returns the JSON response of one shard to a search, with a fault if the search requests one.
pub fn shard_response(shard: u32, search: &Value) -> String {
    let response = correct_response(shard, search);
    match ShardFault::requested_by(search) {
        Some(fault) => fault.apply(shard, response),
        None => response.to_string(),
    }
}

fn correct_response(shard: u32, search: &Value) -> Value {
    let hits = matching_documents(search, &[shard]);
    let page: Vec<Value> = page(search, &hits)
        .iter()
        .map(|hit| hit_json(search, hit))
        .collect();
    let mut aggregations = Map::new();
    let requested_aggregations = search.get("aggs").and_then(Value::as_object);
    for (name, aggregation) in requested_aggregations.into_iter().flatten() {
        aggregations.insert(name.clone(), aggregate(aggregation, &hits));
    }
    json!({
        "took": 1,
        "timed_out": false,
        "hits": {"total": {"value": hits.len(), "relation": "eq"}, "hits": page},
        "aggregations": aggregations,
    })
}

fn hit_json(search: &Value, hit: &SearchHit) -> Value {
    let is_sorted = search.get("sort").is_some();
    // OpenSearch computes no scores for a search with sort keys.
    let score = if is_sorted {
        Value::Null
    } else {
        json!(hit.score)
    };
    let mut json = json!({"_id": hit.id, "_score": score});
    if search.get("_source") != Some(&json!(false)) {
        json["_source"] = hit.source.clone();
    }
    if is_sorted {
        json["sort"] = json!(hit.sort_values);
    }
    json
}
