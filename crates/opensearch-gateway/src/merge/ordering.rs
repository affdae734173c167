//! The order of hits.

use super::shard_answer::ShardHit;
use crate::query_dsl::{SearchRequest, SortOrder};
use serde_json::{Number, Value};
use std::cmp::Ordering;

/// A hit among those of all shards.
pub(super) struct RankedHit {
    /// The number of the shard that it is from.
    pub(super) shard: u32,
    pub(super) hit: ShardHit,
}

/// Compares two hits of a page.
pub(super) fn compare_hits(
    request: &SearchRequest,
    left: &RankedHit,
    right: &RankedHit,
) -> Ordering {
    let by_request = if request.is_sorted_by_score() {
        compare_scores(&left.hit, &right.hit)
    } else {
        compare_sort_keys(request, &left.hit, &right.hit)
    };
    by_request
        .then(left.shard.cmp(&right.shard))
        .then_with(|| left.hit.id.cmp(&right.hit.id))
}

/// The higher score first; a hit without a score comes last.
fn compare_scores(left: &ShardHit, right: &ShardHit) -> Ordering {
    let left_score = left.score.unwrap_or(f64::MIN);
    let right_score = right.score.unwrap_or(f64::MIN);
    right_score.total_cmp(&left_score)
}

fn compare_sort_keys(request: &SearchRequest, left: &ShardHit, right: &ShardHit) -> Ordering {
    let values = left.sort.iter().zip(&right.sort);
    request
        .sort
        .iter()
        .zip(values)
        .map(|(key, (left_value, right_value))| {
            compare_sort_values(left_value, right_value, key.order)
        })
        .find(|ordering| ordering.is_ne())
        .unwrap_or(Ordering::Equal)
}

/// Compares two values of one sort key. Numbers come before strings, strings before booleans, and
/// missing values last, whatever the direction of the sort.
pub fn compare_sort_values(left: &Value, right: &Value, order: SortOrder) -> Ordering {
    let directed = |ordering: Ordering| match order {
        SortOrder::Asc => ordering,
        SortOrder::Desc => ordering.reverse(),
    };
    type_rank(left)
        .cmp(&type_rank(right))
        .then_with(|| match (left, right) {
            (Value::Number(left), Value::Number(right)) => directed(compare_numbers(left, right)),
            (Value::String(left), Value::String(right)) => directed(left.cmp(right)),
            (Value::Bool(left), Value::Bool(right)) => directed(left.cmp(right)),
            _ => Ordering::Equal,
        })
}

fn type_rank(value: &Value) -> u8 {
    match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        Value::Bool(_) => 2,
        _ => 3,
    }
}

/// Integers are compared as such: beyond 2^53, two of them may round to the same float.
fn compare_numbers(left: &Number, right: &Number) -> Ordering {
    if let (Some(left), Some(right)) = (left.as_i64(), right.as_i64()) {
        return left.cmp(&right);
    }
    let left = left.as_f64().unwrap_or(f64::MAX);
    let right = right.as_f64().unwrap_or(f64::MAX);
    left.total_cmp(&right)
}
