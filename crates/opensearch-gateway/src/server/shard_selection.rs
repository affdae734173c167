//! Selects the shards of a search and checks that the answers cover enough of these shards.

use super::context::Index;
use crate::error::GatewayError;
use crate::merge::{ShardAnswer, ShardFailure, ShardResult};
use crate::query_dsl::SearchRequest;
use crate::response::{FailedShard, ShardSummary};
use crate::settings::ShardWeight;
use aggregator_core::protocol::query::{QueryHit, QueryPart};

/// Tolerance for rounding errors when a sum of weights is compared with the minimum coverage.
const COVERAGE_TOLERANCE: f64 = 1e-6;

/// The shards that a search is sent to.
pub(super) struct ShardSelection {
    shards: Vec<ShardWeight>,
    /// Sum of the weights of the selected shards; less than 1 if the client selected only some
    /// shards of the index.
    total_weight: f64,
}

impl ShardSelection {
    /// Selects the `preferred` shards of the index, or all of its shards if there is no preference.
    ///
    /// Fails if the index lacks a preferred shard, or if `preferred` contains a shard twice.
    pub(super) fn new(
        index: Index,
        preferred: Option<&[u32]>,
    ) -> Result<ShardSelection, GatewayError> {
        let is_selected = |shard_weight: &&ShardWeight| {
            preferred.is_none_or(|preferred| preferred.contains(&shard_weight.shard))
        };
        let index_shards = index.settings.shards.iter();
        let shards: Vec<ShardWeight> = index_shards.filter(is_selected).copied().collect();
        let has_all_preferred = preferred.is_none_or(|preferred| preferred.len() == shards.len());
        if shards.is_empty() || !has_all_preferred {
            let index = index.name.to_string();
            return Err(GatewayError::UnknownShards { index });
        }
        let total_weight = shards.iter().map(|shard_weight| shard_weight.weight).sum();
        Ok(ShardSelection {
            shards,
            total_weight,
        })
    }

    /// Returns one query part per shard, with weights that add up to 1.
    pub(super) fn query_parts(&self) -> Vec<QueryPart> {
        let part = |shard_weight: &ShardWeight| QueryPart {
            shard: shard_weight.shard,
            weight: shard_weight.weight / self.total_weight,
            work: None,
        };
        self.shards.iter().map(part).collect()
    }

    /// Returns a summary in which no shard has answered yet.
    pub(super) fn summary(&self) -> ShardSummary {
        ShardSummary {
            total: self.shards.len(),
            ..ShardSummary::default()
        }
    }

    /// Parses the answer of each shard. A shard without a usable answer counts as failed.
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
                    let failed_shard = FailedShard { shard, failure };
                    answers.shards.failures.push(failed_shard);
                }
            }
        }
        answers.shards.successful = answers.results.len();
        answers
    }
}

/// Conditions that the answers to a search must meet.
pub(super) struct AnswerRequirements {
    /// Minimum share of the selected shards' weight that usable answers must cover, from 0 to 1.
    pub(super) minimum_coverage: f64,
    /// Whether every shard must have a usable answer, because the client rejects partial results.
    pub(super) requires_all_shards: bool,
}

/// The outcome of a search whose results are complete or acceptably partial.
pub(super) struct SearchOutcome<'a> {
    pub(super) index: Index<'a>,
    pub(super) shards: ShardSummary,
    pub(super) results: Vec<ShardResult>,
}

/// The parsed answers to a search, with the failures of the shards that lack a usable answer.
pub(super) struct CollectedAnswers {
    shards: ShardSummary,
    results: Vec<ShardResult>,
    /// Share of the selected shards' weight that the usable answers cover, from 0 to 1.
    coverage: f64,
}

impl CollectedAnswers {
    /// Checks that the answers meet the requirements.
    ///
    /// The aggregator's own check of the coverage counts every shard that has answered. This check
    /// counts a shard that has answered with an error as failed.
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
        if requirements.requires_all_shards && shards.successful < shards.total {
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
