//! Helpers that several test files share.

use opensearch_gateway::query_dsl::{SearchRequest, SearchRequestError};
use serde_json::Value;

/// Serializes a JSON value and parses the result as a search request.
pub fn parse_request(body: &Value) -> Result<SearchRequest, SearchRequestError> {
    SearchRequest::parse(body.to_string().as_bytes())
}
