//! Comparison of a page of the gateway with the expected page, computed from the documents.

use aggregator_testkit::installation::SHARDS;
use aggregator_testkit::search::{
    aggregate, matching_documents, page, SearchHit, ShardFault, FAULTED_SHARD,
};
use serde_json::{json, Value};

/// Relative tolerance for the rounding of sums over shards.
const NUMBER_TOLERANCE: f64 = 1e-9;

/// Error in a page.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// The shard counts of the page are inconsistent.
    #[error("inconsistent shard counts: {shards}")]
    ShardCounts {
        /// Member `_shards` of the page.
        shards: Value,
    },
    /// The page claims to cover the faulted shard.
    #[error("expected the faulted shard among the failed shards, got {failed_shards:?}")]
    FaultedShardClaimed {
        /// Shards that the page reports as failed.
        failed_shards: Vec<u32>,
    },
    /// The page has no list of hits.
    #[error("page without a list of hits")]
    NoHits,
    /// The hits or their order differ from the expected ones.
    #[error("expected hits {expected:?}, got {actual:?}")]
    Hits {
        /// Document ids of the page.
        actual: Vec<String>,
        /// Expected document ids.
        expected: Vec<String>,
    },
    /// The fields of a hit differ from those of the document.
    #[error("fields of a hit differ from the document in the index")]
    Source,
    /// The total number of hits is incorrect.
    #[error("expected {expected} hits in total, got {actual}")]
    Total {
        /// Member `hits.total` of the page.
        actual: Value,
        /// Expected number of hits.
        expected: usize,
    },
    /// An aggregation is incorrect.
    #[error("aggregation {name}: expected {expected}, got {actual}")]
    Aggregation {
        /// Name of the aggregation.
        name: String,
        /// Result in the page.
        actual: Value,
        /// Expected result.
        expected: Value,
    },
}

/// Checks a page of the gateway against the documents of the shards that it claims to cover.
pub fn check_page(search: &Value, body: &Value) -> Result<(), PageError> {
    let claimed_shards = check_shards(search, body)?;
    let matching_hits = matching_documents(search, &claimed_shards);
    check_hits(&page(search, &matching_hits), body)?;
    let total = &body["hits"]["total"];
    if *total != json!({"value": matching_hits.len(), "relation": "eq"}) {
        return Err(PageError::Total {
            actual: total.clone(),
            expected: matching_hits.len(),
        });
    }
    check_aggregations(search, body, &matching_hits)
}

/// Checks the shard counts of a page. Returns the shards that the page claims to cover.
fn check_shards(search: &Value, body: &Value) -> Result<Vec<u32>, PageError> {
    let shards = &body["_shards"];
    let failed_shards = shard_numbers(&shards["failures"]);
    let claimed_shards: Vec<u32> = (0..SHARDS)
        .filter(|shard| !failed_shards.contains(shard))
        .collect();
    if shards["successful"] != json!(claimed_shards.len()) || shards["total"] != json!(SHARDS) {
        return Err(PageError::ShardCounts {
            shards: shards.clone(),
        });
    }
    if ShardFault::requested_by(search).is_some() && !failed_shards.contains(&FAULTED_SHARD) {
        return Err(PageError::FaultedShardClaimed { failed_shards });
    }
    Ok(claimed_shards)
}

/// Returns the shard numbers in the list of failures of a page or an error.
pub fn shard_numbers(failures: &Value) -> Vec<u32> {
    let failures = failures.as_array().into_iter().flatten();
    failures
        .filter_map(|failure| Some(failure["shard"].as_u64()? as u32))
        .collect()
}

fn check_hits(expected: &[SearchHit], body: &Value) -> Result<(), PageError> {
    let hits = body["hits"]["hits"].as_array().ok_or(PageError::NoHits)?;
    let actual_ids: Vec<&str> = hits.iter().filter_map(|hit| hit["_id"].as_str()).collect();
    let expected_ids: Vec<&str> = expected.iter().map(|hit| hit.id.as_str()).collect();
    if actual_ids != expected_ids {
        return Err(PageError::Hits {
            actual: actual_ids.into_iter().map(str::to_string).collect(),
            expected: expected_ids.into_iter().map(str::to_string).collect(),
        });
    }
    let sources_match = hits
        .iter()
        .zip(expected)
        .all(|(hit, expected)| hit["_source"] == expected.source);
    if sources_match {
        Ok(())
    } else {
        Err(PageError::Source)
    }
}

fn check_aggregations(
    search: &Value,
    body: &Value,
    matching_hits: &[SearchHit],
) -> Result<(), PageError> {
    let requested_aggregations = search["aggs"].as_object();
    for (name, aggregation) in requested_aggregations.into_iter().flatten() {
        let actual = &body["aggregations"][name];
        let expected = aggregate(aggregation, matching_hits);
        if !nearly_equal(actual, &expected) {
            return Err(PageError::Aggregation {
                name: name.clone(),
                actual: actual.clone(),
                expected,
            });
        }
    }
    Ok(())
}

/// Returns whether two values are equal, up to the rounding of numbers.
fn nearly_equal(left: &Value, right: &Value) -> bool {
    match (left, right) {
        (Value::Number(left), Value::Number(right)) => {
            let left = left.as_f64().unwrap_or_default();
            let right = right.as_f64().unwrap_or_default();
            (left - right).abs() <= NUMBER_TOLERANCE * left.abs().max(1.0)
        }
        (Value::Array(left), Value::Array(right)) => {
            let mut pairs = left.iter().zip(right);
            left.len() == right.len() && pairs.all(|(left, right)| nearly_equal(left, right))
        }
        (Value::Object(left), Value::Object(right)) => {
            left.len() == right.len()
                && left.iter().all(|(key, value)| {
                    right
                        .get(key)
                        .is_some_and(|other| nearly_equal(value, other))
                })
        }
        _ => left == right,
    }
}
