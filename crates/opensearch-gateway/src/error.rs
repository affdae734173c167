//! Errors of the gateway and the HTTP responses that report them.

use crate::compression::DecompressError;
use crate::query_dsl::SearchRequestError;
use crate::response::ShardSummary;
use hyper::{Method, StatusCode};
use serde_json::{json, Value};
use std::time::Duration;

const ILLEGAL_ARGUMENT: &str = "illegal_argument_exception";
const PARSING: &str = "parsing_exception";
const SECURITY: &str = "security_exception";
const CIRCUIT_BREAKING: &str = "circuit_breaking_exception";

/// Error of a request. The `Display` text is the `reason` in the response to the client.
#[derive(Debug, thiserror::Error)]
pub(crate) enum GatewayError {
    /// The search is invalid or not supported.
    #[error(transparent)]
    InvalidSearch(#[from] SearchRequestError),
    /// A URL parameter has an invalid value.
    #[error("Failed to parse value [{value}] of parameter [{name}]")]
    InvalidParameter { name: String, value: String },
    /// A URL parameter is not supported.
    #[error("request [{path}] contains unrecognized parameter: [{name}]")]
    UnknownParameter { path: String, name: String },
    /// No handler exists for the path and method.
    #[error("no handler found for uri [{path}] and method [{method}]")]
    UnknownRoute { path: String, method: Method },
    /// The body is truncated or longer than the limit.
    #[error("the body is cut short or longer than {max_bytes} bytes")]
    TruncatedOrTooLongBody { max_bytes: usize },
    /// The body was not received within the time limit.
    #[error("the body took too long")]
    BodyTimeout,
    /// The body cannot be decompressed, or is too long when decompressed.
    #[error(transparent)]
    InvalidCompressedBody(#[from] DecompressError),
    /// The `Content-Encoding` of the body is not supported.
    #[error("Content-Encoding [{encoding}] is not supported; gzip is")]
    UnsupportedEncoding { encoding: String },
    /// The request refers to all indices, and more than one index is configured.
    #[error("one search goes to one index here: name it")]
    AmbiguousIndex,
    /// The requested index is not configured.
    #[error("no such index [{index}]")]
    UnknownIndex { index: String },
    /// The settings assign a class to the index that the platform does not define.
    #[error("index [{index}] is of the class [{class}], which the platform does not name")]
    UnknownClass { index: String, class: String },
    /// The platform does not define the tenant.
    #[error("there is no tenant [{tenant}]")]
    UnknownTenant { tenant: String },
    /// The tenant of the request cannot be determined.
    #[error("nothing tells the tenant: see tenant-by in the settings")]
    MissingTenant,
    /// The `preference` selects shards that the index does not have, or selects a shard twice.
    #[error("the preference names shards that index [{index}] does not have")]
    UnknownShards { index: String },
    /// The aggregator rejected the query to shed load.
    #[error(
        "the search was refused, as it could not be answered in time{}",
        retry_after_hint(.retry_after)
    )]
    Rejected { retry_after: Option<Duration> },
    /// The aggregator rejected the query as invalid.
    #[error("{reason}")]
    InvalidQuery { status: u16, reason: &'static str },
    /// The answers of the shards exceed the size limit for merging.
    #[error("the shards' answers hold {bytes} bytes, and {max_bytes} may be held")]
    AnswersTooLarge { bytes: usize, max_bytes: usize },
    /// The query failed, so no shard has a usable answer.
    #[error("all shards failed or were too late")]
    AllShardsFailed { index: String, shards: ShardSummary },
    /// The usable answers do not reach the minimum coverage of the query's class.
    #[error("{} of {} shards failed", shards.failures.len(), shards.total)]
    BelowMinimumCoverage { index: String, shards: ShardSummary },
    /// Some shards failed, and the client does not accept partial results.
    #[error("Partial shards failure")]
    PartialResults { index: String, shards: ShardSummary },
    /// A count has paging parameters, sort keys or aggregations.
    #[error("a count takes a query only")]
    UnsupportedCountOption,
    /// The number of lines in a multi-search is zero or odd.
    #[error("a search has two lines, each ended by a newline")]
    UnpairedLines,
    /// A multi-search has too many searches.
    #[error("{searches} searches at once, and {max_searches} at most")]
    TooManySearches {
        searches: usize,
        max_searches: usize,
    },
    /// The header line of a search in a multi-search is malformed.
    #[error("the line before it: {0}")]
    InvalidSearchHeader(#[source] serde_json::Error),
    /// The header line of a search in a multi-search does not name exactly one index.
    #[error("one search goes to one index here")]
    NotOneIndex,
    /// The header line of a search in a multi-search has an unsupported option.
    #[error("neither routing nor another search_type is supported here")]
    UnsupportedSearchOption,
}

/// The HTTP response to a failed request.
#[derive(Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
    /// Delay to send as `Retry-After`; `None` omits the header.
    pub(crate) retry_after: Option<Duration>,
}

/// Returns the part of the reason that states the retry delay, or an empty text without a delay.
fn retry_after_hint(retry_after: &Option<Duration>) -> String {
    match retry_after {
        Some(delay) => format!("; come back in {} ms", delay.as_millis()),
        None => String::new(),
    }
}

impl GatewayError {
    /// Returns the status of the HTTP response.
    fn status(&self) -> StatusCode {
        match self {
            Self::MissingTenant => StatusCode::UNAUTHORIZED,
            Self::UnknownTenant { .. } => StatusCode::FORBIDDEN,
            Self::UnknownIndex { .. } => StatusCode::NOT_FOUND,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::TruncatedOrTooLongBody { .. } | Self::InvalidCompressedBody(_) => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            Self::UnsupportedEncoding { .. } => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Self::Rejected { .. } | Self::AnswersTooLarge { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::UnknownClass { .. } => StatusCode::INTERNAL_SERVER_ERROR,
            Self::AllShardsFailed { .. }
            | Self::BelowMinimumCoverage { .. }
            | Self::PartialResults { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::InvalidQuery { status, .. } => {
                StatusCode::from_u16(*status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
            }
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the `type` of the error in the JSON response.
    fn kind(&self) -> &'static str {
        match self {
            Self::InvalidSearch(error) if !error.cause.exceeds_limit() => PARSING,
            Self::UnsupportedCountOption | Self::InvalidSearchHeader(_) => PARSING,
            Self::UnknownIndex { .. } => "index_not_found_exception",
            Self::UnknownClass { .. } => "illegal_state_exception",
            Self::UnknownTenant { .. } | Self::MissingTenant => SECURITY,
            Self::BodyTimeout => "timeout_exception",
            Self::Rejected { .. } | Self::AnswersTooLarge { .. } => CIRCUIT_BREAKING,
            Self::AllShardsFailed { .. }
            | Self::BelowMinimumCoverage { .. }
            | Self::PartialResults { .. } => "search_phase_execution_exception",
            _ => ILLEGAL_ARGUMENT,
        }
    }

    /// Returns the HTTP response that reports this error.
    pub(crate) fn to_response(&self) -> ErrorResponse {
        let (status, kind, reason) = (self.status(), self.kind(), self.to_string());
        let mut root_cause = json!({"type": kind, "reason": reason});
        if let Self::UnknownIndex { index } = self {
            add_index(&mut root_cause, index);
        }
        let mut error = json!({"root_cause": [root_cause], "type": kind, "reason": reason});
        self.add_details(&mut error);
        ErrorResponse {
            status,
            body: json!({"error": error, "status": status.as_u16()}),
            retry_after: self.retry_after(),
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Rejected { retry_after } => *retry_after,
            _ => None,
        }
    }

    /// Adds the JSON members that only some errors have.
    fn add_details(&self, error: &mut Value) {
        match self {
            Self::UnknownIndex { index } => add_index(error, index),
            Self::Rejected { .. } => error["durability"] = json!("TRANSIENT"),
            Self::AnswersTooLarge { .. } => error["durability"] = json!("PERMANENT"),
            Self::AllShardsFailed { index, shards }
            | Self::BelowMinimumCoverage { index, shards }
            | Self::PartialResults { index, shards } => {
                error["phase"] = json!("query");
                error["grouped"] = json!(true);
                error["failed_shards"] = shards.failures_json(index);
            }
            _ => {}
        }
    }
}

/// Adds the JSON members that identify a missing index.
fn add_index(error: &mut Value, index: &str) {
    error["index"] = json!(index);
    error["resource.type"] = json!("index_or_alias");
    error["resource.id"] = json!(index);
}
