//! Handler for `_msearch`, which runs several searches in one request.
//!
//! The body has two lines per search: a header and the body of the search. A limited number of
//! searches run concurrently. The response lists the results in the order of the searches. A failed
//! search is reported with its error and does not affect the others.

use super::context::{RequestContext, ALL_INDICES};
use super::parameters::UrlParameters;
use super::search::search;
use crate::error::GatewayError;
use crate::response::to_json_bytes;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use std::time::{Duration, Instant};
use tokio::task::{JoinError, JoinSet};

/// Maximum number of searches in one request.
const MAX_SEARCHES_PER_REQUEST: usize = 256;
/// Maximum number of searches of one request that run concurrently.
const MAX_CONCURRENT_SEARCHES: usize = 8;
/// The only supported `search_type`.
const QUERY_THEN_FETCH: &str = "query_then_fetch";

/// The header line of a search.
// Error responses contain the type name `Line`, which clients may depend on.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Line")]
struct SearchHeader {
    index: Option<Value>,
    preference: Option<String>,
    allow_partial_search_results: Option<bool>,
    routing: Option<String>,
    search_type: Option<String>,
}

/// The two lines of a search, without whitespace at their ends.
struct SearchLines {
    header: Bytes,
    body: Bytes,
}

/// Values that apply to all searches of a request. The header of a search takes precedence.
#[derive(Clone)]
struct SearchDefaults {
    context: RequestContext,
    /// Name of the index in the URL, or `None` if the URL names no index.
    index: Option<String>,
    parameters: UrlParameters,
}

/// Runs all searches of a request and returns the body of the response.
pub(super) async fn multi_search(
    context: &RequestContext,
    index: Option<&str>,
    parameters: &UrlParameters,
    body: &Bytes,
) -> Result<Vec<u8>, GatewayError> {
    let started_at = Instant::now();
    let searches = split_searches(body)?;
    let defaults = SearchDefaults {
        context: context.clone(),
        index: index.map(str::to_string),
        parameters: parameters.clone(),
    };
    let responses = run_searches(searches, &defaults).await;
    Ok(join_responses(started_at.elapsed(), &responses))
}

/// Splits the body into the header and body lines of each search.
fn split_searches(body: &Bytes) -> Result<Vec<SearchLines>, GatewayError> {
    let mut lines: Vec<&[u8]> = body
        .split(|byte| *byte == b'\n')
        .map(<[u8]>::trim_ascii)
        .collect();
    while lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    if lines.is_empty() || lines.len() % 2 == 1 {
        return Err(GatewayError::UnpairedLines);
    }
    let search_count = lines.len() / 2;
    if search_count > MAX_SEARCHES_PER_REQUEST {
        return Err(GatewayError::TooManySearches {
            searches: search_count,
            max_searches: MAX_SEARCHES_PER_REQUEST,
        });
    }
    let pairs = lines.chunks_exact(2);
    Ok(pairs
        .map(|pair| SearchLines {
            header: body.slice_ref(pair[0]),
            body: body.slice_ref(pair[1]),
        })
        .collect())
}

/// The response to one search, with the position of the search in the request.
struct PositionedResponse {
    position: usize,
    body: Vec<u8>,
}

/// Runs the searches and returns the bodies of their responses in the order of the searches.
async fn run_searches(searches: Vec<SearchLines>, defaults: &SearchDefaults) -> Vec<Vec<u8>> {
    let mut responses = vec![Vec::new(); searches.len()];
    // If the client disconnects, dropping `tasks` cancels the searches in flight.
    let mut tasks = JoinSet::new();
    for (position, search_lines) in searches.into_iter().enumerate() {
        while tasks.len() >= MAX_CONCURRENT_SEARCHES {
            if let Some(task_result) = tasks.join_next().await {
                store_response(&mut responses, task_result);
            }
        }
        let defaults = defaults.clone();
        tasks.spawn_local(async move {
            let result = run_search(&search_lines, defaults).await;
            let body = response_with_status(result);
            PositionedResponse { position, body }
        });
    }
    while let Some(task_result) = tasks.join_next().await {
        store_response(&mut responses, task_result);
    }
    responses
}

fn store_response(responses: &mut [Vec<u8>], task_result: Result<PositionedResponse, JoinError>) {
    if let Ok(response) = task_result {
        responses[response.position] = response.body;
    }
}

async fn run_search(
    search_lines: &SearchLines,
    defaults: SearchDefaults,
) -> Result<Vec<u8>, GatewayError> {
    let header = parse_header(&search_lines.header)?;
    let index = header_index(&header)?
        .or(defaults.index.as_deref())
        .unwrap_or(ALL_INDICES);
    if has_unsupported_option(&header) {
        return Err(GatewayError::UnsupportedSearchOption);
    }
    let parameters = search_parameters(&header, defaults.parameters)?;
    search(&defaults.context, index, &parameters, &search_lines.body).await
}

/// Returns the URL parameters, overridden by the options in the header of the search.
fn search_parameters(
    header: &SearchHeader,
    url_parameters: UrlParameters,
) -> Result<UrlParameters, GatewayError> {
    let mut parameters = url_parameters;
    if let Some(preference) = &header.preference {
        // Parsed as a URL parameter, because both have the same syntax and the same errors.
        let query = format!("preference={preference}");
        parameters.shards = UrlParameters::parse("/_msearch", Some(&query))?.shards;
    }
    parameters.allow_partial_search_results = header
        .allow_partial_search_results
        .or(parameters.allow_partial_search_results);
    Ok(parameters)
}

fn has_unsupported_option(header: &SearchHeader) -> bool {
    let search_type = header.search_type.as_deref();
    let has_other_type = search_type.is_some_and(|search_type| search_type != QUERY_THEN_FETCH);
    header.routing.is_some() || has_other_type
}

/// Parses a header line. An empty line is a header without options.
fn parse_header(line: &[u8]) -> Result<SearchHeader, GatewayError> {
    if line.is_empty() {
        return Ok(SearchHeader::default());
    }
    serde_json::from_slice(line).map_err(GatewayError::InvalidSearchHeader)
}

/// Returns the index that the header names, or `None` if the header names no index.
///
/// Fails if the index is neither a string nor an array with exactly one string.
fn header_index(header: &SearchHeader) -> Result<Option<&str>, GatewayError> {
    let Some(index) = &header.index else {
        return Ok(None);
    };
    let name = match index {
        Value::String(name) => Some(name.as_str()),
        Value::Array(names) if names.len() == 1 => names[0].as_str(),
        _ => None,
    };
    name.map(Some).ok_or(GatewayError::NotOneIndex)
}

/// Returns the response body that `_search` would have, with the HTTP status added as a member.
fn response_with_status(result: Result<Vec<u8>, GatewayError>) -> Vec<u8> {
    match result {
        Ok(mut body) if body.last() == Some(&b'}') => {
            body.pop();
            body.extend_from_slice(b",\"status\":200}");
            body
        }
        Ok(body) => body,
        Err(error) => to_json_bytes(&error.to_response().body),
    }
}

/// Joins the responses to the individual searches into the body of the whole response.
fn join_responses(took: Duration, responses: &[Vec<u8>]) -> Vec<u8> {
    let head = format!("{{\"took\":{},\"responses\":[", took.as_millis());
    let mut body = head.into_bytes();
    body.extend(responses.join(&b','));
    body.extend_from_slice(b"]}");
    body
}
