//! The supported subset of the OpenSearch query DSL.
//!
//! A request body is parsed once into a typed [`SearchRequest`]. Unknown fields are rejected with
//! their path. Nesting depth, clause counts and numeric parameters are limited (see [`limits`]), so
//! that the size of the body bounds the cost of the search.

mod aggregation;
mod clause;
mod deserialize;
mod error;
mod json_depth;
mod leaf_clause;
pub mod limits;
mod parse;
mod request;
mod shard_request;
mod sort;
mod time_value;
mod validation;

pub use aggregation::{
    Aggregation, DateHistogramAggregation, FieldAggregation, HistogramAggregation, TermsAggregation,
};
pub use clause::{BoolQuery, ClauseList, ConstantScoreQuery, FunctionScoreQuery, QueryClause};
pub use deserialize::FieldEntry;
pub use error::{SearchRequestError, SearchRequestErrorCause};
pub use leaf_clause::{
    ExistsQuery, IdsQuery, MatchAllQuery, MatchOperator, MatchQuery, MultiMatchQuery, PrefixQuery,
    RangeQuery, Scalar, TermQuery,
};
pub use request::{SearchRequest, SourceFilter, SourceIncludesExcludes, TrackTotalHits};
pub use sort::{SortKey, SortOrder};
pub use time_value::parse_time_value_ms;
