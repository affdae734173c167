//! Check of an answer against the expected values of the leaf servers.

use crate::logical_request::ClientLogicalRequest;
use aggregator_testkit::client::ClientHit;
use aggregator_testkit::leaf::expected_answer;
use std::collections::BTreeSet;

/// Tolerance for the rounding of a sum of weights.
const WEIGHT_TOLERANCE: f64 = 1e-3;

/// Returns whether an answer is correct: each value is the expected one, no shard occurs twice, and
/// the required weight is covered. A complete answer must cover all shards, a partial one the
/// minimum coverage of its class.
pub fn is_correct_answer(
    request: &ClientLogicalRequest,
    is_complete: bool,
    hits: &[ClientHit],
) -> bool {
    let minimum_coverage = if is_complete {
        1.0
    } else {
        request.class.minimum_coverage
    };
    have_expected_values(request, hits)
        && have_distinct_shards(hits)
        && covered_weight(request, hits) + WEIGHT_TOLERANCE >= minimum_coverage
}

fn have_expected_values(request: &ClientLogicalRequest, hits: &[ClientHit]) -> bool {
    let text = &request.query.text;
    hits.iter()
        .all(|hit| hit.document == expected_answer(hit.shard, text))
}

fn have_distinct_shards(hits: &[ClientHit]) -> bool {
    let distinct_shards: BTreeSet<u32> = hits.iter().map(|hit| hit.shard).collect();
    distinct_shards.len() == hits.len()
}

fn covered_weight(request: &ClientLogicalRequest, hits: &[ClientHit]) -> f64 {
    let shards = &request.query.shards;
    hits.iter()
        .filter_map(|hit| shards.iter().find(|shard| shard.shard == hit.shard))
        .map(|shard| shard.weight)
        .sum()
}
