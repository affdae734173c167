//! Rewriting of a client's request into the request that is sent to each shard.

use super::aggregation::{Aggregation, TermsAggregation};
use super::limits::MAX_BUCKETS;
use super::request::SearchRequest;

/// Buckets requested from a shard beyond one and a half times the client's bucket count.
const EXTRA_SHARD_BUCKETS: u64 = 10;
/// Maximum number of buckets requested from a shard.
const MAX_SHARD_BUCKETS: u64 = 2 * MAX_BUCKETS;

impl SearchRequest {
    /// The request that is sent to each shard: its own best hits up to the end of the page, and
    /// aggregations that can be reduced over shards.
    pub fn to_shard_request(&self) -> SearchRequest {
        let mut shard_request = self.clone();
        shard_request.size = Some(self.from() + self.size());
        shard_request.from = None;
        // The aggregator enforces the timeout.
        shard_request.timeout = None;
        for aggregation in shard_request.aggs.values_mut() {
            match aggregation {
                // Averages can't be averaged; their counts and sums can be added up.
                Aggregation::Avg(field) => *aggregation = Aggregation::Stats(field.clone()),
                Aggregation::Terms(terms) => terms.size = shard_bucket_count(terms),
                _ => {}
            }
        }
        shard_request
    }
}

/// More buckets than the client requested: a term just below the top in one shard may be among the
/// top over all shards.
fn shard_bucket_count(terms: &TermsAggregation) -> u64 {
    (terms.size + terms.size / 2 + EXTRA_SHARD_BUCKETS).min(MAX_SHARD_BUCKETS)
}
