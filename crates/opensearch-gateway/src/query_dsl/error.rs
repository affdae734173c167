//! Errors of parsing and validating a search request.

use super::limits::{
    MAX_AGGREGATIONS, MAX_BUCKETS, MAX_CLAUSES, MAX_CLAUSE_DEPTH, MAX_RESULT_WINDOW, MAX_SORT_KEYS,
};

/// Why a search request was rejected, with the field at fault.
#[derive(Debug, thiserror::Error)]
#[error("[{path}] {cause}")]
pub struct SearchRequestError {
    /// Path of the field, as in `query.bool.must`.
    pub path: String,
    /// What is wrong with the field.
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

/// Why a search request was rejected.
#[derive(Debug, thiserror::Error)]
pub enum SearchRequestErrorCause {
    /// The body is not JSON, or not of the supported form.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// Clauses are nested too deep.
    #[error("clauses are more than {MAX_CLAUSE_DEPTH} deep")]
    ClausesTooDeep,
    /// The query has too many clauses.
    #[error("has more than {MAX_CLAUSES} clauses")]
    TooManyClauses,
    /// One clause has too many values.
    #[error("a clause has more than {MAX_CLAUSES} values")]
    TooManyValues {
        /// The number of values.
        values: usize,
    },
    /// The requested page ends beyond the largest result window.
    #[error("from + size is {window}, and {MAX_RESULT_WINDOW} at most")]
    ResultWindowTooLarge {
        /// `from + size`.
        window: u64,
    },
    /// The sort has too many keys.
    #[error("has more than {MAX_SORT_KEYS} keys")]
    TooManySortKeys {
        /// The number of keys.
        keys: usize,
    },
    /// The search has too many aggregations.
    #[error("are more than {MAX_AGGREGATIONS}")]
    TooManyAggregations {
        /// The number of aggregations.
        aggregations: usize,
    },
    /// The bucket count of an aggregation is zero or too large.
    #[error("size has to be from 1 to {MAX_BUCKETS}")]
    BucketCountOutOfRange {
        /// The requested bucket count.
        size: u64,
    },
    /// `search_after` was given without `sort`.
    #[error("needs a sort")]
    SearchAfterWithoutSort,
    /// `search_after` and `sort` differ in length.
    #[error("has to have a value for each key of the sort")]
    SearchAfterLength {
        /// The number of values in `search_after`.
        values: usize,
        /// The number of keys in `sort`.
        keys: usize,
    },
    /// `search_after` was combined with a non-zero `from`.
    #[error("has to be 0 with search_after")]
    FromWithSearchAfter {
        /// The requested offset.
        from: u64,
    },
    /// `search_after` holds an object or an array.
    #[error("takes plain values only")]
    SearchAfterNotScalar,
    /// `timeout` is not a time value.
    #[error("is no time as in 500ms or 2s")]
    InvalidTimeout {
        /// The given value.
        timeout: String,
    },
    /// The interval of a histogram is not a finite number above zero.
    #[error("interval has to be above 0")]
    InvalidInterval {
        /// The given value.
        interval: f64,
    },
    /// The interval of a date histogram is not a time value above zero.
    #[error("fixed_interval is no time as in 1d or 30m")]
    InvalidFixedInterval {
        /// The given value.
        fixed_interval: String,
    },
}

impl SearchRequestErrorCause {
    /// Whether the request was well formed but exceeds a limit.
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
