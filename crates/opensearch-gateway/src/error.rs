//! The errors of the gateway, and how each is answered over HTTP.

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

/// Why a request failed. Its `Display` text is the `reason` that the client sees.
#[derive(Debug, thiserror::Error)]
pub(crate) enum GatewayError {
    /// The body is not a supported search.
    #[error(transparent)]
    InvalidSearch(#[from] SearchRequestError),
    /// A URL parameter has an unusable value.
    #[error("Failed to parse value [{value}] of parameter [{name}]")]
    InvalidParameter { name: String, value: String },
    /// A URL parameter is not supported.
    #[error("request [{path}] contains unrecognized parameter: [{name}]")]
    UnknownParameter { path: String, name: String },
    /// No handler exists for the path and method.
    #[error("no handler found for uri [{path}] and method [{method}]")]
    UnknownRoute { path: String, method: Method },
    /// The body is incomplete or too long.
    #[error("the body is cut short or longer than {max_bytes} bytes")]
    BodyTooLong { max_bytes: usize },
    /// The body did not arrive in time.
    #[error("the body took too long")]
    BodyTimeout,
    /// The body can't be decompressed.
    #[error(transparent)]
    InvalidGzip(#[from] DecompressError),
    /// The body's encoding is not supported.
    #[error("Content-Encoding [{encoding}] is not supported; gzip is")]
    UnsupportedEncoding { encoding: String },
    /// The request addresses all indices, of which there is more than one.
    #[error("one search goes to one index here: name it")]
    AmbiguousIndex,
    /// The index does not exist.
    #[error("no such index [{index}]")]
    UnknownIndex { index: String },
    /// The index is configured with a class that the platform does not have.
    #[error("index [{index}] is of the class [{class}], which the platform does not name")]
    UnknownClass { index: String, class: String },
    /// The tenant does not exist.
    #[error("there is no tenant [{tenant}]")]
    UnknownTenant { tenant: String },
    /// The request can't be attributed to a tenant.
    #[error("nothing tells the tenant: see tenant-by in the settings")]
    MissingTenant,
    /// The preference names shards that the index does not have.
    #[error("the preference names shards that index [{index}] does not have")]
    UnknownShards { index: String },
    /// The aggregator rejected the query to shed load.
    #[error(
        "the search was refused, as it could not be answered in time{}",
        retry_after_hint(.retry_after)
    )]
    Rejected { retry_after: Option<Duration> },
    /// The aggregator found the query invalid.
    #[error("{reason}")]
    InvalidQuery { status: u16, reason: &'static str },
    /// The shards' answers are too large to be merged.
    #[error("the shards' answers hold {bytes} bytes, and {max_bytes} may be held")]
    AnswersTooLarge { bytes: usize, max_bytes: usize },
    /// The aggregator failed the query.
    #[error("all shards failed or were too late")]
    AllShardsFailed { index: String, shards: ShardSummary },
    /// The usable answers cover less than the minimum of the query's class.
    #[error("{} of {} shards failed", shards.failures.len(), shards.total)]
    BelowMinimumCoverage { index: String, shards: ShardSummary },
    /// The client does not accept partial results.
    #[error("Partial shards failure")]
    PartialResults { index: String, shards: ShardSummary },
    /// The body of a count has more than a query.
    #[error("a count takes a query only")]
    NotACount,
    /// The lines of a multi-search do not form pairs.
    #[error("a search has two lines, each ended by a newline")]
    UnpairedLines,
    /// A multi-search holds too many searches.
    #[error("{searches} searches at once, and {max_searches} at most")]
    TooManySearches {
        searches: usize,
        max_searches: usize,
    },
    /// The header line of a search in a multi-search is malformed.
    #[error("the line before it: {0}")]
    InvalidSearchHeader(#[source] serde_json::Error),
    /// The header line of a search in a multi-search names no or several indices.
    #[error("one search goes to one index here")]
    NotOneIndex,
    /// The header line of a search in a multi-search has an unsupported option.
    #[error("neither routing nor another search_type is supported here")]
    UnsupportedSearchOption,
}

/// The HTTP response to a request that failed.
#[derive(Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
    /// The value of `Retry-After`.
    pub(crate) retry_after: Option<Duration>,
}

fn retry_after_hint(retry_after: &Option<Duration>) -> String {
    match retry_after {
        Some(delay) => format!("; come back in {} ms", delay.as_millis()),
        None => String::new(),
    }
}

impl GatewayError {
    /// The status of the HTTP response.
    fn status(&self) -> StatusCode {
        match self {
            Self::MissingTenant => StatusCode::UNAUTHORIZED,
            Self::UnknownTenant { .. } => StatusCode::FORBIDDEN,
            Self::UnknownIndex { .. } => StatusCode::NOT_FOUND,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLong { .. } | Self::InvalidGzip(_) => StatusCode::PAYLOAD_TOO_LARGE,
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

    /// The `type` of the error on the wire.
    fn kind(&self) -> &'static str {
        match self {
            Self::InvalidSearch(error) if !error.cause.exceeds_limit() => PARSING,
            Self::NotACount | Self::InvalidSearchHeader(_) => PARSING,
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

    /// The response to the client.
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

    /// Adds the members that only errors of this kind have.
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

fn add_index(error: &mut Value, index: &str) {
    error["index"] = json!(index);
    error["resource.type"] = json!("index_or_alias");
    error["resource.id"] = json!(index);
}
