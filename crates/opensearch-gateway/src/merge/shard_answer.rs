//! The answer of one shard.
//!
//! The names of the deserialized types appear in the `json_parse_exception` texts that clients see
//! for malformed answers, so they are part of the published behaviour. A type with another name
//! here has a private copy under the published one.

use crate::query_dsl::SearchRequest;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;

/// Reason reported for a shard's error that gives none.
const NO_REASON: &str = "no reason given";

/// The answer of one shard.
#[derive(Debug, Deserialize)]
pub struct ShardAnswer {
    /// The shard's hits.
    pub hits: ShardHits,
    /// Partial aggregations by their names.
    #[serde(default)]
    pub aggregations: BTreeMap<String, Value>,
    /// Whether the shard stopped at its own time limit.
    #[serde(default)]
    pub timed_out: bool,
}

/// The hits of one shard.
#[derive(Debug, Deserialize)]
pub struct ShardHits {
    /// The number of matching documents, if it was counted.
    #[serde(default)]
    pub total: Option<Total>,
    /// The shard's best hits.
    pub hits: Vec<ShardHit>,
}

/// One hit. Its document is passed on as the shard sent it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Hit")]
pub struct ShardHit {
    /// The document's id.
    #[serde(rename = "_id")]
    pub id: String,
    /// The document's score.
    #[serde(rename = "_score")]
    pub score: Option<f64>,
    /// The document, or the requested parts of it.
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    /// One value for each sort key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}

/// A [`ShardHit`] under its published name.
#[derive(Deserialize)]
struct Hit {
    #[serde(rename = "_id")]
    id: String,
    #[serde(rename = "_score", default)]
    score: Option<f64>,
    #[serde(rename = "_source", default)]
    source: Option<Box<RawValue>>,
    #[serde(default)]
    sort: Vec<Value>,
}

impl From<Hit> for ShardHit {
    fn from(hit: Hit) -> ShardHit {
        ShardHit {
            id: hit.id,
            score: hit.score,
            source: hit.source,
            sort: hit.sort,
        }
    }
}

/// A count of matching documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The count.
    pub value: u64,
    /// Whether the count is exact.
    pub relation: Relation,
}

/// How a [`Total`] relates to the actual count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Relation {
    /// The total is exact.
    Eq,
    /// The total is a lower bound.
    Gte,
}

/// Why the answer of a shard can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ShardFailure {
    /// No answer arrived before the deadline.
    #[error("no answer in time")]
    NoAnswer,
    /// The shard stopped at its own time limit.
    #[error("the shard ran out of time")]
    TimedOut,
    /// The shard answered with an error.
    #[error("{reason}")]
    Reported {
        /// The type of the shard's error.
        kind: String,
        /// The reason that the shard gave.
        reason: String,
    },
    /// The answer is not JSON or not of the expected form.
    #[error(transparent)]
    Malformed(serde_json::Error),
    /// The number of sort values of a hit differs from the number of sort keys.
    #[error("hit [{id}] lacks its sort values")]
    MissingSortValues {
        /// The hit's id.
        id: String,
    },
    /// A score is infinite or not a number.
    #[error("a score that is no number")]
    NonFiniteScore,
    /// A requested aggregation is missing.
    #[error("the aggregation [{name}] is missing")]
    MissingAggregation {
        /// The aggregation's name.
        name: String,
    },
}

impl ShardFailure {
    /// The type of the error on the wire.
    pub fn kind(&self) -> &str {
        match self {
            Self::NoAnswer | Self::TimedOut => "timeout_exception",
            Self::Reported { kind, .. } => kind,
            Self::Malformed(_) => "json_parse_exception",
            Self::MissingSortValues { .. }
            | Self::NonFiniteScore
            | Self::MissingAggregation { .. } => "illegal_state_exception",
        }
    }
}

impl ShardAnswer {
    /// Parses a shard's answer and checks that it answers `request`.
    ///
    /// # Errors
    /// The shard reported an error, timed out, or its answer does not fit the request.
    pub fn parse(text: &str, request: &SearchRequest) -> Result<ShardAnswer, ShardFailure> {
        let answer: ShardAnswer = serde_json::from_str(text)
            .map_err(|error| reported_error(text).unwrap_or(ShardFailure::Malformed(error)))?;
        answer.check(request)?;
        Ok(answer)
    }

    fn check(&self, request: &SearchRequest) -> Result<(), ShardFailure> {
        if self.timed_out {
            return Err(ShardFailure::TimedOut);
        }
        self.check_sort_values(request)?;
        self.check_scores()?;
        self.check_aggregations(request)
    }

    fn check_sort_values(&self, request: &SearchRequest) -> Result<(), ShardFailure> {
        if request.is_sorted_by_score() {
            return Ok(());
        }
        for hit in &self.hits.hits {
            if hit.sort.len() != request.sort.len() {
                let id = hit.id.clone();
                return Err(ShardFailure::MissingSortValues { id });
            }
        }
        Ok(())
    }

    fn check_scores(&self) -> Result<(), ShardFailure> {
        let mut scores = self.hits.hits.iter().filter_map(|hit| hit.score);
        if scores.any(|score| !score.is_finite()) {
            return Err(ShardFailure::NonFiniteScore);
        }
        Ok(())
    }

    fn check_aggregations(&self, request: &SearchRequest) -> Result<(), ShardFailure> {
        for name in request.aggs.keys() {
            if !self.aggregations.contains_key(name) {
                let name = name.clone();
                return Err(ShardFailure::MissingAggregation { name });
            }
        }
        Ok(())
    }
}

/// The error that a shard answered with, if `text` is a well-formed error.
fn reported_error(text: &str) -> Option<ShardFailure> {
    let answer: Value = serde_json::from_str(text).ok()?;
    let error = answer.get("error")?;
    let text_of = |key: &str| error.get(key).and_then(Value::as_str);
    Some(ShardFailure::Reported {
        kind: text_of("type")?.to_string(),
        reason: text_of("reason").unwrap_or(NO_REASON).to_string(),
    })
}
