//! Supported aggregations.

use super::deserialize::object;
use serde::{Deserialize, Serialize};

/// Default number of buckets of a `terms` aggregation.
const DEFAULT_TERMS_SIZE: u64 = 10;

fn default_terms_size() -> u64 {
    DEFAULT_TERMS_SIZE
}

/// Parameters of an aggregation whose only parameter is a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FieldAggregation {
    /// Name of the aggregated field.
    pub field: String,
}

/// Parameters of a `terms` aggregation, which counts the most frequent values of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermsAggregation {
    /// Name of the aggregated field.
    pub field: String,
    /// Maximum number of buckets to return.
    #[serde(default = "default_terms_size")]
    pub size: u64,
}

/// Parameters of a `histogram` aggregation, which counts documents by intervals of a numeric field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistogramAggregation {
    /// Name of the aggregated field.
    pub field: String,
    /// Width of a bucket, in the unit of the field.
    pub interval: f64,
}

/// Parameters of a `date_histogram` aggregation, which counts documents by intervals of a date
/// field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DateHistogramAggregation {
    /// Name of the aggregated field.
    pub field: String,
    /// Width of a bucket as a time value, for example `1d` or `30m`.
    pub fixed_interval: String,
}

/// An aggregation: an object whose only key is the kind of the aggregation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Aggregation {
    /// `terms`: the most frequent values.
    #[serde(deserialize_with = "object")]
    Terms(TermsAggregation),
    /// `min`: the smallest value.
    #[serde(deserialize_with = "object")]
    Min(FieldAggregation),
    /// `max`: the largest value.
    #[serde(deserialize_with = "object")]
    Max(FieldAggregation),
    /// `sum`: the sum of the values.
    #[serde(deserialize_with = "object")]
    Sum(FieldAggregation),
    /// `avg`: the average of the values.
    #[serde(deserialize_with = "object")]
    Avg(FieldAggregation),
    /// `value_count`: the number of values.
    #[serde(deserialize_with = "object")]
    ValueCount(FieldAggregation),
    /// `stats`: count, minimum, maximum, average and sum of the values.
    #[serde(deserialize_with = "object")]
    Stats(FieldAggregation),
    /// `histogram`: document counts by numeric interval.
    #[serde(deserialize_with = "object")]
    Histogram(HistogramAggregation),
    /// `date_histogram`: document counts by time interval.
    #[serde(deserialize_with = "object")]
    DateHistogram(DateHistogramAggregation),
}
