//! Aggregations that a search may request.

use super::deserialize::object;
use serde::{Deserialize, Serialize};

/// Bucket count of a `terms` aggregation that states none.
const DEFAULT_TERMS_SIZE: u64 = 10;

fn default_terms_size() -> u64 {
    DEFAULT_TERMS_SIZE
}

/// An aggregation that takes nothing but a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FieldAggregation {
    /// The aggregated field.
    pub field: String,
}

/// The most frequent values of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermsAggregation {
    /// The aggregated field.
    pub field: String,
    /// The number of buckets to return.
    #[serde(default = "default_terms_size")]
    pub size: u64,
}

/// Counts by intervals of a numeric field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistogramAggregation {
    /// The aggregated field.
    pub field: String,
    /// The width of a bucket.
    pub interval: f64,
}

/// Counts by intervals of a date field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DateHistogramAggregation {
    /// The aggregated field.
    pub field: String,
    /// The width of a bucket as a time value, as in `1d` or `30m`.
    pub fixed_interval: String,
}

/// One aggregation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Aggregation {
    /// `terms`
    #[serde(deserialize_with = "object")]
    Terms(TermsAggregation),
    /// `min`
    #[serde(deserialize_with = "object")]
    Min(FieldAggregation),
    /// `max`
    #[serde(deserialize_with = "object")]
    Max(FieldAggregation),
    /// `sum`
    #[serde(deserialize_with = "object")]
    Sum(FieldAggregation),
    /// `avg`
    #[serde(deserialize_with = "object")]
    Avg(FieldAggregation),
    /// `value_count`
    #[serde(deserialize_with = "object")]
    ValueCount(FieldAggregation),
    /// `stats`
    #[serde(deserialize_with = "object")]
    Stats(FieldAggregation),
    /// `histogram`
    #[serde(deserialize_with = "object")]
    Histogram(HistogramAggregation),
    /// `date_histogram`
    #[serde(deserialize_with = "object")]
    DateHistogram(DateHistogramAggregation),
}
