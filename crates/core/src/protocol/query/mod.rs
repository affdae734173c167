//! Queries of clients and the replies to them.
//!
//! Only this module implements the native protocol, over HTTP. A frontend for another protocol
//! converts its own requests to [`QueryRequest`]s and renders [`QueryReply`]s in its own format.

mod reply;
mod request;

pub use reply::render_reply;
pub use request::parse_request;

use super::http::RequestError;
use crate::api::Nanos;
use crate::memory::ALLOCATION_OVERHEAD_BYTES;
use bytes::Bytes;
use serde::Serialize;

/// Number of allocations of a query: name, parts, text and the count of its references.
const QUERY_ALLOCATIONS: usize = 4;

/// Names by which requests refer to classes and tenants, and the limits of a query.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    /// Names of the query classes, indexed by class number.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by tenant number; empty if requests do not name tenants.
    pub tenants: Vec<String>,
    /// For each class, the client timeout of requests that state none, in nanoseconds.
    pub deadlines: Vec<Nanos>,
    /// For each class, the minimum share of the weight that an answer must cover, from 0 to 1.
    pub minimum_coverages: Vec<f64>,
    /// Number of shards; shards are numbered from 0.
    pub shards: u32,
}

/// The part of a query that one shard answers.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryPart {
    /// Number of the shard to search.
    pub shard: u32,
    /// Share of the part in the answer. The weights of a query add up to 1.
    pub weight: f64,
    /// Expected work in nanoseconds, if the client states it.
    pub work: Option<Nanos>,
}

/// A query, independent of the protocol over which it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// Id given by the client. The ids of the parts begin with it.
    pub name: String,
    /// Number of the query class.
    pub class: u16,
    /// Number of the tenant; 0 if no tenants are configured.
    pub tenant: u32,
    /// Time that the client waits, from the arrival of the query, in nanoseconds.
    pub timeout: Nanos,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// Idempotency key of the client, the same on each of its attempts.
    pub idempotency_key: Option<String>,
    /// Parts of the query, at most one per shard.
    pub parts: Vec<QueryPart>,
    /// Query text that is sent to each leaf server.
    pub text: Bytes,
}

impl QueryRequest {
    /// Returns the memory that the query uses beyond its own size, in bytes.
    fn heap_bytes(&self) -> usize {
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::capacity);
        self.name.capacity()
            + key_bytes
            + self.parts.capacity() * size_of::<QueryPart>()
            + self.text.len()
            + QUERY_ALLOCATIONS * ALLOCATION_OVERHEAD_BYTES
    }
}

/// A valid request of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// A query, which the engine passes to the policy or rejects.
    Query(QueryRequest),
    /// Readiness check: asks whether this aggregator is ready to accept queries.
    Ready,
    /// Request for the counters.
    Stats,
}

impl ClientRequest {
    /// Returns the memory that the request uses beyond its own size, in bytes.
    pub fn heap_bytes(&self) -> usize {
        match self {
            ClientRequest::Query(query) => query.heap_bytes(),
            ClientRequest::Ready | ClientRequest::Stats => 0,
        }
    }
}

/// Result of one part within an answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QueryHit {
    /// Number of the shard that returned the result.
    pub shard: u32,
    /// Value that the leaf server returned.
    pub doc: String,
}

/// Reply to a request of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryReply {
    /// An answer from the results of all or some parts.
    Answer {
        /// Whether the answer reaches the completeness threshold of its class.
        complete: bool,
        /// Results of the parts that the answer covers.
        hits: Vec<QueryHit>,
    },
    /// The query was rejected, and a retry by the client does no harm.
    Rejected {
        /// Time that the client should wait before a retry, in nanoseconds.
        retry_after: Option<Nanos>,
    },
    /// The query failed, for example because it was not answered in time. It may have had an
    /// effect, so a retry by the client may do harm.
    Failed,
    /// Whether this aggregator is ready.
    Ready(bool),
    /// The counters in JSON.
    Stats(Vec<u8>),
    /// The request was invalid. Contains the status and the reason to send.
    InvalidRequest(RequestError),
}

impl QueryReply {
    /// Reply to a query that arrives after the engine has exited.
    pub const REJECTED_AT_EXIT: QueryReply = QueryReply::Rejected { retry_after: None };
}
