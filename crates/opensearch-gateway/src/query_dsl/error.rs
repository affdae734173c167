//! Errors from parsing and validating a search request.

use super::limits::{
    MAX_AGGREGATIONS, MAX_BUCKETS, MAX_CLAUSES, MAX_CLAUSE_DEPTH, MAX_RESULT_WINDOW, MAX_SORT_KEYS,
};

/// Error in a search request, with the path of the invalid field.
#[derive(Debug, thiserror::Error)]
#[error("[{path}] {cause}")]
pub struct SearchRequestError {
    /// Path of the invalid field, for example `query.bool.must`.
    pub path: String,
    /// Reason why the field is invalid.
    #[source]
    pub cause: SearchRequestErrorCause,
}

impl SearchRequestError {
    pub(super) fn new(path: impl Into<String>, cause: SearchRequestErrorCause) -> Self {
        SearchRequestError {
            path: path.into(),
            cause,
        }
    }
}

/// Reason why a search request is invalid.
#[derive(Debug, thiserror::Error)]
pub enum SearchRequestErrorCause {
    /// The body is not JSON, or does not have the structure of a supported request.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// Clauses, or the brackets of the JSON text, are nested too deeply.
    #[error("clauses are more than {MAX_CLAUSE_DEPTH} deep")]
    ClausesTooDeep,
    /// The query has more than [`MAX_CLAUSES`] clauses.
    #[error("has more than {MAX_CLAUSES} clauses")]
    TooManyClauses,
    /// One clause has more than [`MAX_CLAUSES`] values or field names.
    #[error("a clause has more than {MAX_CLAUSES} values")]
    TooManyValues {
        /// Number of values or field names in the clause.
        values: usize,
    },
    /// The requested page ends beyond [`MAX_RESULT_WINDOW`] hits.
    #[error("from + size is {window}, and {MAX_RESULT_WINDOW} at most")]
    ResultWindowTooLarge {
        /// The sum of `from` and `size` in the request.
        window: u64,
    },
    /// The sort has more than [`MAX_SORT_KEYS`] keys.
    #[error("has more than {MAX_SORT_KEYS} keys")]
    TooManySortKeys {
        /// Number of sort keys in the request.
        keys: usize,
    },
    /// The search has more than [`MAX_AGGREGATIONS`] aggregations.
    #[error("are more than {MAX_AGGREGATIONS}")]
    TooManyAggregations {
        /// Number of aggregations in the request.
        aggregations: usize,
    },
    /// The bucket count of a `terms` aggregation is zero or exceeds [`MAX_BUCKETS`].
    #[error("size has to be from 1 to {MAX_BUCKETS}")]
    BucketCountOutOfRange {
        /// Bucket count in the request.
        size: u64,
    },
    /// The request has `search_after` but no `sort`.
    #[error("needs a sort")]
    SearchAfterWithoutSort,
    /// `search_after` and `sort` differ in length.
    #[error("has to have a value for each key of the sort")]
    SearchAfterLengthMismatch {
        /// Number of values in `search_after`.
        values: usize,
        /// Number of keys in `sort`.
        keys: usize,
    },
    /// The request combines `search_after` with a non-zero `from`.
    #[error("has to be 0 with search_after")]
    FromWithSearchAfter {
        /// The value of `from` in the request.
        from: u64,
    },
    /// `search_after` contains an object or an array.
    #[error("takes plain values only")]
    SearchAfterNotScalar,
    /// `timeout` is not a valid time value.
    #[error("is no time as in 500ms or 2s")]
    InvalidTimeout {
        /// The value of `timeout` in the request.
        timeout: String,
    },
    /// The interval of a histogram is not a positive, finite number.
    #[error("interval has to be above 0")]
    InvalidInterval {
        /// Interval in the request.
        interval: f64,
    },
    /// The interval of a date histogram is not a time value greater than zero.
    #[error("fixed_interval is no time as in 1d or 30m")]
    InvalidFixedInterval {
        /// Interval in the request.
        fixed_interval: String,
    },
}

impl SearchRequestErrorCause {
    /// Returns whether the request exceeds a limit, as opposed to being malformed or contradictory.
    pub fn exceeds_limit(&self) -> bool {
        matches!(
            self,
            Self::ClausesTooDeep
                | Self::TooManyClauses
                | Self::TooManyValues { .. }
                | Self::ResultWindowTooLarge { .. }
                | Self::TooManySortKeys { .. }
                | Self::TooManyAggregations { .. }
                | Self::BucketCountOutOfRange { .. }
        )
    }
}
