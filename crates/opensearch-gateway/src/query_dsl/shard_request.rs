//! Rewrites a client's request into the request that is sent to each shard.

use super::aggregation::{Aggregation, TermsAggregation};
use super::limits::MAX_BUCKETS;
use super::request::SearchRequest;

/// Number of buckets requested from a shard in addition to 1.5 times the client's bucket count.
const EXTRA_SHARD_BUCKETS: u64 = 10;
/// Maximum number of buckets requested from a shard.
const MAX_SHARD_BUCKETS: u64 = 2 * MAX_BUCKETS;

impl SearchRequest {
    /// Returns the request that is sent to each shard.
    ///
    /// Each shard is asked for its best hits up to the end of the client's page, and for partial
    /// aggregations that can be reduced across shards.
    pub fn to_shard_request(&self) -> SearchRequest {
        let mut shard_request = self.clone();
        shard_request.size = Some(self.from() + self.size());
        shard_request.from = None;
        // The aggregator enforces the timeout.
        shard_request.timeout = None;
        for aggregation in shard_request.aggs.values_mut() {
            match aggregation {
                // An overall average requires the count and the sum of each shard.
                Aggregation::Avg(field) => *aggregation = Aggregation::Stats(field.clone()),
                Aggregation::Terms(terms) => terms.size = shard_bucket_count(terms),
                _ => {}
            }
        }
        shard_request
    }
}

/// Returns the number of buckets to request from each shard.
///
/// A shard returns more buckets than the client requested, because a term that just misses the top
/// of one shard may be among the top terms across all shards.
fn shard_bucket_count(terms: &TermsAggregation) -> u64 {
    (terms.size + terms.size / 2 + EXTRA_SHARD_BUCKETS).min(MAX_SHARD_BUCKETS)
}
