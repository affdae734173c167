//! Parsing and validation of one shard's answer.
//!
//! The `json_parse_exception` errors for malformed answers contain the names of the deserialized
//! types. Clients may depend on these texts, so the names must not change: [`ShardHit`] is
//! deserialized through a private type with the earlier name `Hit`.

use crate::query_dsl::SearchRequest;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;

/// Reason in the response for a shard's error that lacks a reason.
const NO_REASON: &str = "no reason given";

/// A successful answer of one shard.
#[derive(Debug, Deserialize)]
pub struct ShardAnswer {
    /// Best hits of the shard and their total.
    pub hits: ShardHits,
    /// Partial aggregations by name.
    #[serde(default)]
    pub aggregations: BTreeMap<String, Value>,
    /// Whether the shard stopped at its own time limit, before the search was complete.
    #[serde(default)]
    pub timed_out: bool,
}

/// The `hits` section of a shard's answer.
#[derive(Debug, Deserialize)]
pub struct ShardHits {
    /// Number of matching documents, or `None` if the shard did not count them.
    #[serde(default)]
    pub total: Option<Total>,
    /// Best hits of the shard, in the order of the search.
    pub hits: Vec<ShardHit>,
}

/// One hit. The document in it is passed to the client exactly as the shard sent it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Hit")]
pub struct ShardHit {
    /// Identifier of the document, unique within the index.
    #[serde(rename = "_id")]
    pub id: String,
    /// Relevance score, or `None` if the shard did not compute it.
    #[serde(rename = "_score")]
    pub score: Option<f64>,
    /// The document as raw JSON, reduced to the requested fields, or `None` if the shard did not
    /// return it.
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    /// Sort values, one for each sort key of the search.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}

/// Deserialized form of [`ShardHit`], with the name that appears in error texts.
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
    /// Exact count or lower bound, depending on `relation`.
    pub value: u64,
    /// Whether `value` is exact or a lower bound.
    pub relation: Relation,
}

/// Relation of a [`Total`] to the actual count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Relation {
    /// The total equals the actual count.
    Eq,
    /// The total is a lower bound of the actual count.
    Gte,
}

/// Reason why a shard has no usable answer.
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
        /// Type of the error, as reported by the shard.
        kind: String,
        /// Reason of the error, as reported by the shard.
        reason: String,
    },
    /// The answer is not JSON or does not have the expected structure.
    #[error(transparent)]
    Malformed(serde_json::Error),
    /// The number of sort values of a hit differs from the number of sort keys.
    #[error("hit [{id}] lacks its sort values")]
    MissingSortValues {
        /// Document id of the hit.
        id: String,
    },
    /// A score is infinite or not a number.
    #[error("a score that is no number")]
    NonFiniteScore,
    /// The answer lacks a requested aggregation.
    #[error("the aggregation [{name}] is missing")]
    MissingAggregation {
        /// Name of the aggregation in the request.
        name: String,
    },
}

impl ShardFailure {
    /// Returns the `type` of the error in the JSON response.
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
    /// Parses a shard's answer and checks that it contains everything that `request` asks for.
    ///
    /// # Errors
    /// Returns an error if the shard reported an error or timed out, or if the answer is malformed
    /// or does not match the request.
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

/// Parses an error response of a shard. Returns `None` if `text` is not a well-formed error.
fn reported_error(text: &str) -> Option<ShardFailure> {
    let answer: Value = serde_json::from_str(text).ok()?;
    let error = answer.get("error")?;
    let text_member = |key: &str| error.get(key).and_then(Value::as_str);
    Some(ShardFailure::Reported {
        kind: text_member("type")?.to_string(),
        reason: text_member("reason").unwrap_or(NO_REASON).to_string(),
    })
}
