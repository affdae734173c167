//! Helpers of several test files.

use opensearch_gateway::query_dsl::{SearchRequest, SearchRequestError};
use serde_json::Value;

/// Parses a search request from JSON.
pub fn parse_request(body: &Value) -> Result<SearchRequest, SearchRequestError> {
    SearchRequest::parse(body.to_string().as_bytes())
}
