//! Ordering of hits across shards.

use super::shard_answer::ShardHit;
use crate::query_dsl::{SearchRequest, SortOrder};
use serde_json::{Number, Value};
use std::cmp::Ordering;

/// A hit with the shard that returned it.
pub(super) struct RankedHit {
    pub(super) shard: u32,
    pub(super) hit: ShardHit,
}

/// Compares two hits by score or sort keys, then by shard number, then by document id.
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

/// Orders hits by descending score. Hits without a score come last.
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

/// Compares two values of one sort key.
///
/// Numbers come before strings, strings before booleans, and missing values last. `order` applies
/// only to values of the same type.
pub fn compare_sort_values(left: &Value, right: &Value, order: SortOrder) -> Ordering {
    let apply_order = |ordering: Ordering| match order {
        SortOrder::Asc => ordering,
        SortOrder::Desc => ordering.reverse(),
    };
    type_rank(left)
        .cmp(&type_rank(right))
        .then_with(|| match (left, right) {
            (Value::Number(left), Value::Number(right)) => {
                apply_order(compare_numbers(left, right))
            }
            (Value::String(left), Value::String(right)) => apply_order(left.cmp(right)),
            (Value::Bool(left), Value::Bool(right)) => apply_order(left.cmp(right)),
            _ => Ordering::Equal,
        })
}

/// Returns the position of the value's type in the order of types.
fn type_rank(value: &Value) -> u8 {
    match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        Value::Bool(_) => 2,
        _ => 3,
    }
}

/// Compares two numbers. Integers in the range of `i64` are compared exactly, because `f64` rounds
/// integers beyond 2^53.
fn compare_numbers(left: &Number, right: &Number) -> Ordering {
    if let (Some(left), Some(right)) = (left.as_i64(), right.as_i64()) {
        return left.cmp(&right);
    }
    let left = left.as_f64().unwrap_or(f64::MAX);
    let right = right.as_f64().unwrap_or(f64::MAX);
    left.total_cmp(&right)
}
