//! A use of the aggregators by a client, before it is made and afterwards.

use aggregator_core::engine::usage::{client_join_key, content_join_key};
use aggregator_testkit::client::{consecutive_shards, ClientQuery};
use aggregator_testkit::installation::{InstallationClass, CLASSES, SHARDS, TENANTS};
use rand::rngs::StdRng;
use rand::Rng;

/// The first tenants, whose clients send an idempotency key with each use.
const TENANTS_WITH_KEYS: usize = 2;
/// The text of all queries with an idempotency key.
const SHARED_TEXT: &str = "the same text";

/// A use that a client is about to make: one query, in one or more attempts.
pub struct Use {
    /// Identifies the use among those of all clients.
    pub id: String,
    /// The query, the same in each attempt.
    pub query: ClientQuery,
    /// The query's class.
    pub class: InstallationClass,
    /// The query's tenant.
    pub tenant: &'static str,
}

impl Use {
    /// A random use; `client` and `number` identify it.
    pub fn random(random: &mut StdRng, client: u64, number: u64) -> Use {
        let class = CLASSES[random.random_range(0..CLASSES.len())];
        let tenant = random.random_range(0..TENANTS.len());
        let shard_count = random.random_range(1..=6u32);
        let first_shard = random.random_range(0..SHARDS);
        let id = format!("{client}-{number}");
        // Without a key, a text is used only once, so that the ledger doesn't join two uses.
        let has_key = tenant < TENANTS_WITH_KEYS;
        Use {
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

    /// The key by which the ledger joins the attempts of a use.
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

/// How a use ended for its client.
#[derive(Clone, Copy, PartialEq)]
pub enum UseOutcome {
    /// With an answer that covers all shards.
    Complete,
    /// With an answer that covers some shards.
    Partial,
    /// With rejections until its timeout.
    Rejected,
    /// With an error.
    Failed,
}

impl UseOutcome {
    /// The outcome's name in the file of uses, which `ledger reconcile` reads.
    pub fn label(self) -> &'static str {
        match self {
            UseOutcome::Complete => "whole",
            UseOutcome::Partial => "partial",
            UseOutcome::Rejected => "refused",
            UseOutcome::Failed => "failed",
        }
    }
}

/// A use as its client saw it.
pub struct UseRecord {
    /// When the first attempt was sent, in Unix milliseconds.
    pub started_ms: u64,
    /// The query's tenant.
    pub tenant: &'static str,
    /// The name of the query's class.
    pub class: &'static str,
    /// How it ended.
    pub outcome: UseOutcome,
    /// Attempts made.
    pub attempts: u32,
    /// The key by which the ledger joins its attempts.
    pub join_key: u64,
}
