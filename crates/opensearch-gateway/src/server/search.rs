//! Handlers for `_search` and `_count`.

use super::context::RequestContext;
use super::execution::execute;
use super::parameters::UrlParameters;
use super::shard_selection::SearchOutcome;
use crate::error::GatewayError;
use crate::merge::merge;
use crate::query_dsl::{SearchRequest, TrackTotalHits};
use crate::response::{count_response, search_response};
use std::time::Instant;

/// Runs a search and returns the body of the response.
pub(super) async fn search(
    context: &RequestContext,
    index: &str,
    parameters: &UrlParameters,
    body: &[u8],
) -> Result<Vec<u8>, GatewayError> {
    let request = parse_request(parameters, body)?;
    let started_at = Instant::now();
    let SearchOutcome {
        index,
        shards,
        results,
    } = execute(context, index, parameters, &request).await?;
    let merged = merge(&request, results);
    let took = started_at.elapsed();
    Ok(search_response(
        index.name, &request, took, &shards, &merged,
    ))
}

/// Counts the matching documents and returns the body of the response.
pub(super) async fn count(
    context: &RequestContext,
    index: &str,
    parameters: &UrlParameters,
    body: &[u8],
) -> Result<Vec<u8>, GatewayError> {
    let mut request = parse_request(parameters, body)?;
    let has_paging = request.size.is_some() || request.from.is_some();
    if has_paging || !request.sort.is_empty() || !request.aggs.is_empty() {
        return Err(GatewayError::UnsupportedCountOption);
    }
    request.size = Some(0);
    request.track_total_hits = Some(TrackTotalHits::Enabled(true));
    let SearchOutcome {
        index,
        shards,
        results,
    } = execute(context, index, parameters, &request).await?;
    let count = merge(&request, results)
        .total
        .map_or(0, |total| total.value);
    Ok(count_response(index.name, &shards, count))
}

/// Parses and validates a search.
///
/// The URL parameters `from`, `size` and `track_total_hits` take precedence over the body.
fn parse_request(parameters: &UrlParameters, body: &[u8]) -> Result<SearchRequest, GatewayError> {
    let mut request = SearchRequest::parse(body)?;
    request.from = parameters.from.or(request.from);
    request.size = parameters.size.or(request.size);
    request.track_total_hits = parameters.track_total_hits.or(request.track_total_hits);
    request.validate()?;
    Ok(request)
}
