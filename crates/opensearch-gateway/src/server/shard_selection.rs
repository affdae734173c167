//! The shards of a search, and whether their answers suffice.

use super::context::Index;
use crate::error::GatewayError;
use crate::merge::{ShardAnswer, ShardFailure, ShardResult};
use crate::query_dsl::SearchRequest;
use crate::response::{FailedShard, ShardSummary};
use crate::settings::ShardWeight;
use aggregator_core::protocol::query::{QueryHit, QueryPart};

/// Tolerance on a sum of weights that is compared with the minimum coverage.
const COVERAGE_TOLERANCE: f64 = 1e-6;

/// The shards that a search goes to.
pub(super) struct ShardSelection {
    shards: Vec<ShardWeight>,
    /// The sum of the shards' weights, less than 1 if the client selected some of them.
    total_weight: f64,
}

impl ShardSelection {
    /// Selects all shards of the index, or the `preferred` ones.
    pub(super) fn new(
        index: Index,
        preferred: Option<&[u32]>,
    ) -> Result<ShardSelection, GatewayError> {
        let is_selected = |shard: &&ShardWeight| {
            preferred.is_none_or(|preferred| preferred.contains(&shard.shard))
        };
        let index_shards = index.settings.shards.iter();
        let shards: Vec<ShardWeight> = index_shards.filter(is_selected).copied().collect();
        let all_found = preferred.is_none_or(|preferred| preferred.len() == shards.len());
        if shards.is_empty() || !all_found {
            let index = index.name.to_string();
            return Err(GatewayError::UnknownShards { index });
        }
        let total_weight = shards.iter().map(|shard| shard.weight).sum();
        Ok(ShardSelection {
            shards,
            total_weight,
        })
    }

    pub(super) fn query_parts(&self) -> Vec<QueryPart> {
        let part = |shard: &ShardWeight| QueryPart {
            shard: shard.shard,
            weight: shard.weight / self.total_weight,
            work: None,
        };
        self.shards.iter().map(part).collect()
    }

    /// A summary before any answer.
    pub(super) fn summary(&self) -> ShardSummary {
        ShardSummary {
            total: self.shards.len(),
            ..ShardSummary::default()
        }
    }

    /// Parses the answer of each shard. One without a usable answer counts as failed.
    pub(super) fn collect_answers(
        &self,
        hits: &[QueryHit],
        request: &SearchRequest,
    ) -> CollectedAnswers {
        let mut answers = CollectedAnswers {
            shards: self.summary(),
            results: Vec::new(),
            coverage: 0.0,
        };
        for &ShardWeight { shard, weight } in &self.shards {
            let hit = hits.iter().find(|hit| hit.shard == shard);
            let answer = hit
                .ok_or(ShardFailure::NoAnswer)
                .and_then(|hit| ShardAnswer::parse(&hit.doc, request));
            match answer {
                Ok(answer) => {
                    answers.coverage += weight / self.total_weight;
                    answers.results.push(ShardResult { shard, answer });
                }
                Err(failure) => {
                    let failed = FailedShard { shard, failure };
                    answers.shards.failures.push(failed);
                }
            }
        }
        answers.shards.successful = answers.results.len();
        answers
    }
}

/// What the answers to a search have to cover.
pub(super) struct AnswerRequirements {
    /// The minimum weight of the shards with a usable answer, from 0 to 1.
    pub(super) minimum_coverage: f64,
    /// The client accepts no partial results.
    pub(super) all_shards: bool,
}

/// The outcome of a search that can be answered, in part at least.
pub(super) struct SearchOutcome<'a> {
    pub(super) index: Index<'a>,
    pub(super) shards: ShardSummary,
    pub(super) results: Vec<ShardResult>,
}

/// The answers of all shards of a search, usable or not.
pub(super) struct CollectedAnswers {
    shards: ShardSummary,
    results: Vec<ShardResult>,
    /// The weight of the shards with a usable answer, from 0 to 1.
    coverage: f64,
}

impl CollectedAnswers {
    /// Checks that the answers meet the requirements.
    ///
    /// The aggregator has checked the coverage already, but counts every shard that has answered.
    /// Here a shard that has answered with an error counts as failed.
    pub(super) fn into_outcome(
        self,
        index: Index<'_>,
        requirements: AnswerRequirements,
    ) -> Result<SearchOutcome<'_>, GatewayError> {
        let CollectedAnswers {
            shards,
            results,
            coverage,
        } = self;
        if coverage + COVERAGE_TOLERANCE < requirements.minimum_coverage {
            let index = index.name.to_string();
            return Err(GatewayError::BelowMinimumCoverage { index, shards });
        }
        if requirements.all_shards && shards.successful < shards.total {
            let index = index.name.to_string();
            return Err(GatewayError::PartialResults { index, shards });
        }
        Ok(SearchOutcome {
            index,
            shards,
            results,
        })
    }
}
