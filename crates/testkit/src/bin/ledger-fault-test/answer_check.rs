//! The check of an answer against what the leaf servers hold.

use crate::client_use::Use;
use aggregator_testkit::client::ClientHit;
use aggregator_testkit::leaf::expected_answer;
use std::collections::BTreeSet;

/// Rounding that a sum of weights may be off by.
const WEIGHT_TOLERANCE: f64 = 1e-3;

/// Whether an answer has the values that the leaf servers hold, none twice, and covers as much as
/// it has to: all shards if it is marked complete, and otherwise the minimum coverage of its class.
pub fn is_correct_answer(answered: &Use, complete: bool, hits: &[ClientHit]) -> bool {
    let minimum_coverage = if complete {
        1.0
    } else {
        answered.class.minimum_coverage
    };
    have_expected_values(answered, hits)
        && have_distinct_shards(hits)
        && covered_weight(answered, hits) + WEIGHT_TOLERANCE >= minimum_coverage
}

fn have_expected_values(answered: &Use, hits: &[ClientHit]) -> bool {
    let text = &answered.query.text;
    hits.iter()
        .all(|hit| hit.document == expected_answer(hit.shard, text))
}

fn have_distinct_shards(hits: &[ClientHit]) -> bool {
    let distinct_shards: BTreeSet<u32> = hits.iter().map(|hit| hit.shard).collect();
    distinct_shards.len() == hits.len()
}

fn covered_weight(answered: &Use, hits: &[ClientHit]) -> f64 {
    let shards = &answered.query.shards;
    hits.iter()
        .filter_map(|hit| shards.iter().find(|shard| shard.shard == hit.shard))
        .map(|shard| shard.weight)
        .sum()
}
