//! The body of a search request.

use super::aggregation::Aggregation;
use super::clause::QueryClause;
use super::deserialize::one_or_more;
use super::sort::SortKey;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Page size of a search that states none.
const DEFAULT_PAGE_SIZE: u64 = 10;

/// Which parts of the documents are returned.
// Clients see this error text; it keeps the name that it was published with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Source"
)]
pub enum SourceFilter {
    /// All of the document, or nothing of it.
    Enabled(bool),
    /// The parts that match one pattern.
    Pattern(String),
    /// The parts that match one of several patterns.
    Patterns(Vec<String>),
    /// Patterns to include and to exclude.
    IncludesExcludes(SourceIncludesExcludes),
}

/// The long form of a [`SourceFilter`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SourceIncludesExcludes {
    /// Patterns of the parts to return.
    pub includes: Vec<String>,
    /// Patterns of the parts to leave out.
    pub excludes: Vec<String>,
}

/// Whether hits are counted, and up to which number.
// Clients see this error text; it keeps the name that it was published with.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Track"
)]
pub enum TrackTotalHits {
    /// Count exactly, or not at all.
    Enabled(bool),
    /// Count exactly up to this number.
    UpTo(u64),
}

/// A search as its body states it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SearchRequest {
    /// The query; none matches every document.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<QueryClause>,
    /// Number of hits to skip.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<u64>,
    /// Number of hits to return.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub size: Option<u64>,
    /// Sort keys; empty sorts by score.
    #[serde(
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "one_or_more"
    )]
    pub sort: Vec<SortKey>,
    /// Sort values of the last hit of the previous page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub search_after: Option<Vec<Value>>,
    /// Which parts of the documents are returned.
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<SourceFilter>,
    /// Whether hits are counted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub track_total_hits: Option<TrackTotalHits>,
    /// Minimum score of a hit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_score: Option<f64>,
    /// The client's timeout as a time value, as in `500ms`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<String>,
    /// Aggregations by their names.
    #[serde(alias = "aggregations", skip_serializing_if = "BTreeMap::is_empty")]
    pub aggs: BTreeMap<String, Aggregation>,
}

impl SearchRequest {
    /// Number of hits to skip, with the default applied.
    pub fn from(&self) -> u64 {
        self.from.unwrap_or(0)
    }

    /// Number of hits to return, with the default applied.
    pub fn size(&self) -> u64 {
        self.size.unwrap_or(DEFAULT_PAGE_SIZE)
    }

    /// Whether hits are sorted by their score alone.
    pub fn is_sorted_by_score(&self) -> bool {
        self.sort.is_empty()
    }
}
