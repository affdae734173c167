//! Execution of a search on its shards, through the aggregator.

use super::context::{Client, Index, RequestContext};
use super::parameters::UrlParameters;
use super::tenant::resolve_tenant;
use crate::error::GatewayError;
use crate::merge::{ShardAnswer, ShardFailure, ShardResult};
use crate::query_dsl::{parse_time_value_ms, SearchRequest};
use crate::response::{to_json_bytes, FailedShard, ShardSummary};
use crate::settings::ShardWeight;
use aggregator_core::protocol::query::{NameTables, QueryHit, QueryPart, QueryReply, QueryRequest};
use bytes::Bytes;
use std::time::Duration;

const NANOS_PER_MS: u64 = 1_000_000;
/// Tolerance on a sum of weights that is compared with the minimum coverage.
const COVERAGE_TOLERANCE: f64 = 1e-6;
/// Set to `1` by a client that repeats a request.
const X_RETRIED: &str = "x-retried";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key; longer ones are ignored.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// The outcome of a search that can be answered, in part at least.
pub(super) struct SearchOutcome<'a> {
    pub(super) index: Index<'a>,
    pub(super) shards: ShardSummary,
    pub(super) results: Vec<ShardResult>,
}

/// Sends the search to the shards of the index and collects their answers.
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
        is_retry: context.client.header(X_RETRIED) == Some("1"),
        idempotency_key: idempotency_key(&context.client),
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
    let minimum_coverage = names.minimum_coverages.get(class).copied().unwrap_or(1.0);
    let requires_all_shards = parameters.allow_partial_search_results == Some(false);
    answers.into_outcome(index, minimum_coverage, requires_all_shards)
}

/// The number of the index's class among the platform's classes.
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

/// The client's timeout, the body's before that of the URL, up to the deadline of the class.
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

fn idempotency_key(client: &Client) -> Option<String> {
    client
        .header(IDEMPOTENCY_KEY)
        .filter(|key| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()))
        .map(str::to_string)
}

/// The answers of the leaf servers in a reply, or the error that the reply stands for.
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

/// Bounds the memory that merging the answers takes.
fn check_answer_size(hits: &[QueryHit], max_bytes: usize) -> Result<(), GatewayError> {
    let bytes: usize = hits.iter().map(|hit| hit.doc.len()).sum();
    if bytes > max_bytes {
        return Err(GatewayError::AnswersTooLarge { bytes, max_bytes });
    }
    Ok(())
}

/// The shards that a search goes to.
struct ShardSelection {
    shards: Vec<ShardWeight>,
    /// The sum of the shards' weights, less than 1 if the client selected some of them.
    total_weight: f64,
}

impl ShardSelection {
    /// Selects all shards of the index, or the `preferred` ones.
    fn new(index: Index, preferred: Option<&[u32]>) -> Result<ShardSelection, GatewayError> {
        let is_selected = |shard: &&ShardWeight| {
            preferred.is_none_or(|preferred| preferred.contains(&shard.shard))
        };
        let index_shards = index.settings.shards.iter();
        let shards: Vec<ShardWeight> = index_shards.filter(is_selected).copied().collect();
        let all_found = preferred.is_none_or(|preferred| preferred.len() == shards.len());
        if shards.is_empty() || !all_found {
            let index = index.name.to_string();
            return Err(GatewayError::UnknownShards { index });
        }
        let total_weight = shards.iter().map(|shard| shard.weight).sum();
        Ok(ShardSelection {
            shards,
            total_weight,
        })
    }

    fn query_parts(&self) -> Vec<QueryPart> {
        let part = |shard: &ShardWeight| QueryPart {
            shard: shard.shard,
            weight: shard.weight / self.total_weight,
            work: None,
        };
        self.shards.iter().map(part).collect()
    }

    /// A summary before any answer.
    fn summary(&self) -> ShardSummary {
        ShardSummary {
            total: self.shards.len(),
            ..ShardSummary::default()
        }
    }

    /// Parses the answer of each shard.
    fn collect_answers(&self, hits: &[QueryHit], request: &SearchRequest) -> CollectedAnswers {
        let mut answers = CollectedAnswers {
            shards: self.summary(),
            results: Vec::new(),
            coverage: 0.0,
        };
        for &ShardWeight { shard, weight } in &self.shards {
            let hit = hits.iter().find(|hit| hit.shard == shard);
            let answer = hit
                .ok_or(ShardFailure::NoAnswer)
                .and_then(|hit| ShardAnswer::parse(&hit.doc, request));
            match answer {
                Ok(answer) => {
                    answers.coverage += weight / self.total_weight;
                    answers.results.push(ShardResult { shard, answer });
                }
                Err(failure) => {
                    let failed = FailedShard { shard, failure };
                    answers.shards.failures.push(failed);
                }
            }
        }
        answers.shards.successful = answers.results.len();
        answers
    }
}

/// The answers of all shards of a search.
struct CollectedAnswers {
    shards: ShardSummary,
    results: Vec<ShardResult>,
    /// The weight of the shards with a usable answer.
    coverage: f64,
}

impl CollectedAnswers {
    /// Checks that the answers suffice. The aggregator checked the coverage by the shards that
    /// answered at all; those that answered with an error do not count here.
    fn into_outcome(
        self,
        index: Index<'_>,
        minimum_coverage: f64,
        requires_all_shards: bool,
    ) -> Result<SearchOutcome<'_>, GatewayError> {
        let CollectedAnswers {
            shards,
            results,
            coverage,
        } = self;
        if coverage + COVERAGE_TOLERANCE < minimum_coverage {
            let index = index.name.to_string();
            return Err(GatewayError::BelowMinimumCoverage { index, shards });
        }
        if requires_all_shards && shards.successful < shards.total {
            let index = index.name.to_string();
            return Err(GatewayError::PartialResults { index, shards });
        }
        Ok(SearchOutcome {
            index,
            shards,
            results,
        })
    }
}
