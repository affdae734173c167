//! Logical requests of clients, and records of their outcomes.

use aggregator_core::engine::usage::{client_join_key, content_join_key};
use aggregator_testkit::client::{consecutive_shards, ClientQuery};
use aggregator_testkit::installation::{InstallationClass, CLASSES, SHARDS, TENANTS};
use rand::rngs::StdRng;
use rand::Rng;

/// Number of tenants, the first of the list, whose requests have an idempotency key.
const TENANTS_WITH_KEYS: usize = 2;
/// Query text of all requests with an idempotency key.
const SHARED_TEXT: &str = "the same text";

/// Logical request: one query, sent in one or more attempts. The ledger counts it as one use.
pub struct ClientLogicalRequest {
    /// Id of the request, unique over all clients.
    pub id: String,
    /// Query sent in every attempt.
    pub query: ClientQuery,
    /// Class of the query.
    pub class: InstallationClass,
    /// Name of the tenant.
    pub tenant: &'static str,
}

impl ClientLogicalRequest {
    /// Creates a random request whose id consists of `client` and `request_number`.
    pub fn random(random: &mut StdRng, client: u64, request_number: u64) -> ClientLogicalRequest {
        let class = CLASSES[random.random_range(0..CLASSES.len())];
        let tenant = random.random_range(0..TENANTS.len());
        let shard_count = random.random_range(1..=6u32);
        let first_shard = random.random_range(0..SHARDS);
        let id = format!("{client}-{request_number}");
        // A text without a key must be unique, or the ledger would join separate logical requests.
        let has_key = tenant < TENANTS_WITH_KEYS;
        ClientLogicalRequest {
            query: ClientQuery {
                class: class.name.into(),
                tenant: TENANTS[tenant].into(),
                shards: consecutive_shards(first_shard, shard_count, SHARDS),
                text: if has_key {
                    SHARED_TEXT.into()
                } else {
                    id.clone()
                },
                idempotency_key: has_key.then(|| format!("use-{id}")),
            },
            id,
            class,
            tenant: TENANTS[tenant],
        }
    }

    /// Returns the key by which the ledger joins the attempts of this request.
    pub fn join_key(&self) -> u64 {
        let query = &self.query;
        match &query.idempotency_key {
            Some(key) => client_join_key(&query.class, key),
            None => {
                let shards = query.shards.iter().map(|shard| (shard.shard, shard.weight));
                content_join_key(&query.class, shards, query.text.as_bytes())
            }
        }
    }
}

/// Outcome of a logical request as seen by its client.
#[derive(Clone, Copy, PartialEq)]
pub enum ClientRequestOutcome {
    /// An answer that covers all shards.
    Complete,
    /// An answer that covers only some shards.
    Partial,
    /// No answer until the timeout or the last attempt, because of rejections or lost connections.
    Rejected,
    /// An error, or no response.
    Failed,
}

impl ClientRequestOutcome {
    /// Returns the name of the outcome in the file of client records that `ledger reconcile` reads.
    pub fn label(self) -> &'static str {
        match self {
            ClientRequestOutcome::Complete => "whole",
            ClientRequestOutcome::Partial => "partial",
            ClientRequestOutcome::Rejected => "refused",
            ClientRequestOutcome::Failed => "failed",
        }
    }
}

/// Client's record of a logical request.
pub struct ClientRequestRecord {
    /// Time of the first attempt in Unix milliseconds.
    pub started_ms: u64,
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Name of the query class.
    pub class: &'static str,
    /// Outcome as seen by the client.
    pub outcome: ClientRequestOutcome,
    /// Number of attempts made.
    pub attempts: u32,
    /// Key by which the ledger joins the attempts.
    pub join_key: u64,
}
