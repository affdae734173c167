//! Merges the answers of the shards into one result, without I/O.
//!
//! Hits are ordered by the sort keys of the search (see [`compare_sort_values`]) or, if there are
//! none, by descending score. Ties are broken by shard number, then by document id, so that equal
//! answers always produce the same page. Totals are added up; the sum is a lower bound if the total
//! of any shard is a lower bound.

mod aggregations;
mod ordering;
mod shard_answer;

pub use ordering::compare_sort_values;
pub use shard_answer::{Relation, ShardAnswer, ShardFailure, ShardHit, ShardHits, Total};

use crate::query_dsl::{Aggregation, SearchRequest};
use ordering::{compare_hits, RankedHit};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The usable answer of one shard.
#[derive(Debug)]
pub struct ShardResult {
    /// Number of the shard within its index.
    pub shard: u32,
    /// Answer that passed [`ShardAnswer::parse`].
    pub answer: ShardAnswer,
}

/// The merged result of a search.
#[derive(Debug, Default)]
pub struct MergedResult {
    /// Number of matching documents, or `None` if no shard counted them.
    pub total: Option<Total>,
    /// Highest score of any hit, or `None` if no hit has a score or the search has sort keys.
    pub max_score: Option<f64>,
    /// Hits of the requested page, in order.
    pub hits: Vec<ShardHit>,
    /// Reduced aggregations by name.
    pub aggregations: Map<String, Value>,
}

/// Merges the results of the shards for `request`.
pub fn merge(request: &SearchRequest, results: Vec<ShardResult>) -> MergedResult {
    let mut total = None;
    let mut hits: Vec<RankedHit> = Vec::new();
    let mut partial_aggregations: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    for ShardResult { shard, answer } in results {
        if let Some(shard_total) = answer.hits.total {
            total = Some(add_totals(total, shard_total));
        }
        let shard_hits = answer.hits.hits.into_iter();
        hits.extend(shard_hits.map(|hit| RankedHit { shard, hit }));
        for (name, partial) in answer.aggregations {
            partial_aggregations.entry(name).or_default().push(partial);
        }
    }
    MergedResult {
        total,
        max_score: max_score(request, &hits),
        hits: page_of(request, hits),
        aggregations: reduce_aggregations(request, &partial_aggregations),
    }
}

/// Adds `total` to `sum`. The result is a lower bound if either operand is a lower bound.
fn add_totals(sum: Option<Total>, total: Total) -> Total {
    let Some(sum) = sum else {
        return total;
    };
    let relation = match (sum.relation, total.relation) {
        (Relation::Eq, Relation::Eq) => Relation::Eq,
        _ => Relation::Gte,
    };
    Total {
        value: sum.value.saturating_add(total.value),
        relation,
    }
}

fn max_score(request: &SearchRequest, hits: &[RankedHit]) -> Option<f64> {
    if !request.is_sorted_by_score() {
        return None;
    }
    hits.iter()
        .filter_map(|ranked_hit| ranked_hit.hit.score)
        .max_by(f64::total_cmp)
}

/// Sorts the hits and returns the requested page of them.
fn page_of(request: &SearchRequest, mut hits: Vec<RankedHit>) -> Vec<ShardHit> {
    hits.sort_by(|left, right| compare_hits(request, left, right));
    hits.into_iter()
        .skip(request.from() as usize)
        .take(request.size() as usize)
        .map(|ranked_hit| ranked_hit.hit)
        .collect()
}

fn reduce_aggregations(
    request: &SearchRequest,
    partial_aggregations: &BTreeMap<String, Vec<Value>>,
) -> Map<String, Value> {
    let reduce = |(name, aggregation): (&String, &Aggregation)| {
        let partials = partial_aggregations.get(name);
        let partials = partials.map_or(&[][..], Vec::as_slice);
        (name.clone(), aggregations::reduce(aggregation, partials))
    };
    request.aggs.iter().map(reduce).collect()
}
