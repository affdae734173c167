//! Queries as clients send them over HTTP, and the replies. The native protocol is implemented only
//! here: a frontend for another protocol makes the same [`QueryRequest`] from its own requests and
//! renders the same [`QueryReply`].

mod reply;
mod request;

pub use reply::render_reply;
pub use request::parse_request;

use super::http::RequestError;
use crate::api::Nanos;
use bytes::Bytes;
use serde::Serialize;

/// The names by which requests refer to classes and tenants, and the bounds of a query.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    /// The names of the query classes, by number.
    pub classes: Vec<String>,
    /// The names of the tenants, by number; empty if requests name none.
    pub tenants: Vec<String>,
    /// For each class, the client timeout where the request states none.
    pub deadlines: Vec<Nanos>,
    /// For each class, the minimum share of the weight that an answer must cover.
    pub minimum_coverages: Vec<f64>,
    /// The number of shards.
    pub shards: u32,
}

/// One shard's part of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryPart {
    /// The shard to search.
    pub shard: u32,
    /// The part's share of the answer; the weights of a query add up to 1.
    pub weight: f64,
    /// The expected work, if the client states it.
    pub work: Option<Nanos>,
}

/// One query, whatever protocol it was received by.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The client's id for it; the ids of its parts begin with it.
    pub name: String,
    /// The query class, by number.
    pub class: u16,
    /// The tenant, by number.
    pub tenant: u32,
    /// How long the client waits, from the arrival of the query.
    pub timeout: Nanos,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The client's idempotency key, the same on each of its attempts.
    pub idempotency_key: Option<String>,
    /// The parts, each shard at most once.
    pub parts: Vec<QueryPart>,
    /// The text that each leaf server gets.
    pub text: Bytes,
}

/// The request of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// A query that is to be answered.
    Query(QueryRequest),
    /// The readiness check: whether this aggregator is ready to take queries.
    Ready,
    /// The request for the counters.
    Stats,
}

/// One part's result within an answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueryHit {
    /// The shard it is from.
    pub shard: u32,
    /// The value that the leaf server returned.
    pub doc: String,
}

/// The reply to a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryReply {
    /// The query was answered.
    Answer {
        /// The answer reaches the completeness threshold of its class.
        complete: bool,
        /// The results of the parts.
        hits: Vec<QueryHit>,
    },
    /// The query was rejected: a retry by the client does no harm.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Option<Nanos>,
    },
    /// The query was not answered in time.
    Failed,
    /// Whether this aggregator is ready.
    Ready(bool),
    /// The counters, as JSON.
    Stats(Vec<u8>),
    /// The request was invalid.
    InvalidRequest(RequestError),
}

impl QueryReply {
    /// The reply to a query that arrives after the engine has exited.
    pub const REJECTED_AT_EXIT: QueryReply = QueryReply::Rejected { retry_after: None };
}
