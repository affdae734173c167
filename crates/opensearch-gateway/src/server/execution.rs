//! Executes a search on its shards as one query of the aggregator.

use super::context::{GatewayRequestHead, Index, RequestContext};
use super::parameters::UrlParameters;
use super::shard_selection::{AnswerRequirements, SearchOutcome, ShardSelection};
use super::tenant::resolve_tenant;
use crate::error::GatewayError;
use crate::query_dsl::{parse_time_value_ms, SearchRequest};
use crate::response::to_json_bytes;
use aggregator_core::protocol::query::{NameTables, QueryHit, QueryReply, QueryRequest};
use bytes::Bytes;
use std::time::Duration;

const NANOS_PER_MS: u64 = 1_000_000;
/// Header that a client sets to `1` when it retries a request.
const X_RETRIED: &str = "x-retried";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key. Longer keys are ignored.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Sends the search as one query with one part per shard and collects the answers of the shards.
pub(super) async fn execute<'a>(
    context: &'a RequestContext,
    index_name: &str,
    parameters: &UrlParameters,
    request: &SearchRequest,
) -> Result<SearchOutcome<'a>, GatewayError> {
    let gateway = &context.gateway;
    let names = gateway.aggregator.names().clone();
    let index = gateway.find_index(index_name)?;
    let class = find_class(index, &names)?;
    let tenant = resolve_tenant(context, &names.tenants)?;
    let selection = ShardSelection::new(index, parameters.shards.as_deref())?;
    let query = QueryRequest {
        name: gateway.next_query_name(),
        class: class as u16,
        tenant: tenant as u32,
        timeout: query_timeout_ns(request, parameters, class, &names),
        is_retry: context.head.header(X_RETRIED) == Some("1"),
        idempotency_key: idempotency_key(&context.head),
        parts: selection.query_parts(),
        text: Bytes::from(to_json_bytes(&request.to_shard_request())),
    };
    let reply = gateway
        .aggregator
        .send_query(context.received_at_ns, query)
        .await;
    let hits = answer_hits(reply, index, &selection)?;
    check_answer_size(&hits, gateway.settings.max_answer_bytes)?;
    let answers = selection.collect_answers(&hits, request);
    answers.into_outcome(
        index,
        AnswerRequirements {
            minimum_coverage: names.minimum_coverages.get(class).copied().unwrap_or(1.0),
            requires_all_shards: parameters.allow_partial_search_results == Some(false),
        },
    )
}

/// Returns the position of the index's class in the platform's list of classes.
fn find_class(index: Index, names: &NameTables) -> Result<usize, GatewayError> {
    let class = &index.settings.class;
    let mut classes = names.classes.iter();
    classes
        .position(|name| name == class)
        .ok_or_else(|| GatewayError::UnknownClass {
            index: index.name.to_string(),
            class: class.clone(),
        })
}

/// Returns the client's timeout in nanoseconds, limited to the deadline of the class.
///
/// A timeout in the body takes precedence over one in the URL. The default is the deadline of the
/// class.
fn query_timeout_ns(
    request: &SearchRequest,
    parameters: &UrlParameters,
    class: usize,
    names: &NameTables,
) -> u64 {
    let class_deadline_ns = names.deadlines.get(class).copied().unwrap_or_default();
    let body_timeout_ms = request.timeout.as_deref().and_then(parse_time_value_ms);
    match body_timeout_ms.or(parameters.timeout_ms) {
        Some(timeout_ms) => timeout_ms
            .saturating_mul(NANOS_PER_MS)
            .min(class_deadline_ns),
        None => class_deadline_ns,
    }
}

/// Returns the client's idempotency key, or `None` if the key is missing, empty or too long.
fn idempotency_key(head: &GatewayRequestHead) -> Option<String> {
    head.header(IDEMPOTENCY_KEY)
        .filter(|key| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()))
        .map(str::to_string)
}

/// Returns the results of the parts, or the error that corresponds to a reply without results.
fn answer_hits(
    reply: QueryReply,
    index: Index,
    selection: &ShardSelection,
) -> Result<Vec<QueryHit>, GatewayError> {
    match reply {
        QueryReply::Answer { hits, .. } => Ok(hits),
        QueryReply::Rejected { retry_after } => Err(GatewayError::Rejected {
            retry_after: retry_after.map(Duration::from_nanos),
        }),
        QueryReply::InvalidRequest(error) => Err(GatewayError::InvalidQuery {
            status: error.status,
            reason: error.why,
        }),
        _ => Err(GatewayError::AllShardsFailed {
            index: index.name.to_string(),
            shards: selection.summary(),
        }),
    }
}

/// Checks the total size of the answers, which bounds the memory that merging requires.
fn check_answer_size(hits: &[QueryHit], max_bytes: usize) -> Result<(), GatewayError> {
    let bytes: usize = hits.iter().map(|hit| hit.doc.len()).sum();
    if bytes > max_bytes {
        return Err(GatewayError::AnswersTooLarge { bytes, max_bytes });
    }
    Ok(())
}
