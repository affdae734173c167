//! The body of a search request.

use super::aggregation::Aggregation;
use super::clause::QueryClause;
use super::deserialize::one_or_more;
use super::sort::SortKey;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Default number of hits in a page.
const DEFAULT_PAGE_SIZE: u64 = 10;

/// Selection of the document fields to return.
// Clients may depend on the text of `expecting`, which contains an earlier name of the type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Source"
)]
pub enum SourceFilter {
    /// The whole document if `true`, no part of it if `false`.
    Enabled(bool),
    /// The fields that match the pattern.
    Pattern(String),
    /// The fields that match any of the patterns.
    Patterns(Vec<String>),
    /// Separate patterns of fields to include and to exclude.
    IncludesExcludes(SourceIncludesExcludes),
}

/// The object form of a [`SourceFilter`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SourceIncludesExcludes {
    /// Patterns of fields to return.
    pub includes: Vec<String>,
    /// Patterns of fields to omit.
    pub excludes: Vec<String>,
}

/// Whether the total number of hits is counted, and up to which number.
// Clients may depend on the text of `expecting`, which contains an earlier name of the type.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Track"
)]
pub enum TrackTotalHits {
    /// Counts all hits if `true`, and none if `false`.
    Enabled(bool),
    /// Counts hits exactly up to this number; a larger total is reported as a lower bound.
    UpTo(u64),
}

/// The body of a search request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SearchRequest {
    /// Query to run; `None` matches every document.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<QueryClause>,
    /// Number of hits to skip; see [`SearchRequest::from`] for the default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<u64>,
    /// Number of hits to return; see [`SearchRequest::size`] for the default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub size: Option<u64>,
    /// Sort keys in descending priority. Without sort keys, hits are sorted by score.
    #[serde(
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "one_or_more"
    )]
    pub sort: Vec<SortKey>,
    /// Sort values of the last hit of the previous page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub search_after: Option<Vec<Value>>,
    /// Fields of the documents to return.
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<SourceFilter>,
    /// Whether hits are counted, and up to which number. By default, the gateway reports totals
    /// above 10,000 as a lower bound.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub track_total_hits: Option<TrackTotalHits>,
    /// Minimum score of a returned hit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_score: Option<f64>,
    /// Client timeout as a time value, for example `500ms`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<String>,
    /// Aggregations by name.
    #[serde(alias = "aggregations", skip_serializing_if = "BTreeMap::is_empty")]
    pub aggs: BTreeMap<String, Aggregation>,
}

impl SearchRequest {
    /// Returns the number of hits to skip; 0 by default.
    pub fn from(&self) -> u64 {
        self.from.unwrap_or(0)
    }

    /// Returns the number of hits to return; 10 by default.
    pub fn size(&self) -> u64 {
        self.size.unwrap_or(DEFAULT_PAGE_SIZE)
    }

    /// Returns whether hits are sorted by score, which is the case if the search has no sort keys.
    pub fn is_sorted_by_score(&self) -> bool {
        self.sort.is_empty()
    }
}
