//! Usage records: one for each query that ended, for the usage ledger.

use crate::api::Nanos;
use crate::protocol::query::QueryReply;
use xxhash_rust::xxh3::Xxh3;

/// The unit of [`QueryOutcome::Partial`]: the total weight is this many.
const MILLIONTHS: f64 = 1e6;

/// Identifies one use, which a client may request several times. The key is the same at every
/// aggregator and in every run, so that a retry at another aggregator is recognised. Keys that the
/// client gave are odd, others even; 0 is no key.
pub type JoinKey = u64;

/// The key of a use for which the client has sent an idempotency key.
pub fn client_join_key(class: &str, key: &str) -> JoinKey {
    let mut hash = hash_of(class);
    hash.update(key.as_bytes());
    hash.digest() | 1
}

/// The key of a use by its request: the class, the parts (shard and weight) in any order, and the
/// text.
pub fn content_join_key(
    class: &str,
    parts: impl Iterator<Item = (u32, f64)>,
    text: &[u8],
) -> JoinKey {
    let mut parts: Vec<(u32, u64)> = parts
        .map(|(shard, weight)| (shard, weight.to_bits()))
        .collect();
    parts.sort_unstable();
    let mut hash = hash_of(class);
    for (shard, weight) in parts {
        hash.update(&shard.to_le_bytes());
        hash.update(&weight.to_le_bytes());
    }
    hash.update(text);
    // Even, and never 0.
    hash.digest() & !1 | 2
}

/// Whether a key is one that the client gave.
pub fn is_client_key(key: JoinKey) -> bool {
    key & 1 != 0
}

fn hash_of(class: &str) -> Xxh3 {
    let mut hash = Xxh3::new();
    hash.update(class.as_bytes());
    hash.update(&[0]);
    hash
}

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryOutcome {
    /// Answered completely.
    Complete,
    /// Answered from parts with this share of the weight, in millionths.
    Partial(u32),
    /// Rejected: trying again is harmless.
    Rejected,
    /// Failed: it may have had an effect.
    Failed,
    /// The client disconnected before the reply.
    ClientDisconnected,
}

impl QueryOutcome {
    /// The outcome of a query with this reply, whose parts with a result have `covered_weight` of
    /// the `total_weight`.
    pub(super) fn of_reply(
        reply: &QueryReply,
        covered_weight: f64,
        total_weight: f64,
    ) -> QueryOutcome {
        match reply {
            QueryReply::Answer { complete: true, .. } => QueryOutcome::Complete,
            QueryReply::Answer { .. } => {
                let share = covered_weight / total_weight.max(f64::MIN_POSITIVE);
                QueryOutcome::Partial((share * MILLIONTHS).round().clamp(0.0, MILLIONTHS) as u32)
            }
            QueryReply::Rejected { .. } => QueryOutcome::Rejected,
            _ => QueryOutcome::Failed,
        }
    }
}

/// The usage record of one query that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryUsage {
    /// Counts from 1 over the records of this run, without a gap.
    pub sequence: u64,
    /// The tenant, by its number in the settings.
    pub tenant: u32,
    /// The class, by its number in the settings.
    pub class: u16,
    /// Unix nanoseconds by this aggregator's clock; never before the
    /// [`complete_until`](UsageWatermark::complete_until) of an earlier watermark.
    pub arrived_at: Nanos,
    /// How the query ended.
    pub outcome: QueryOutcome,
    /// The number of its parts.
    pub parts: u32,
    /// The number of attempts at its parts.
    pub attempts: u32,
    /// Of the attempts, those to replicas in other zones.
    pub cross_zone_attempts: u32,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The same for all queries by which a client requests the same use.
    pub join_key: JoinKey,
    /// The client gave the join key.
    pub has_client_key: bool,
}

/// States up to when the usage records are complete: every query that arrived before
/// `complete_until` has ended and is recorded with a sequence up to `sequence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageWatermark {
    /// The sequence of the last record.
    pub sequence: u64,
    /// Unix nanoseconds; no later record has an earlier arrival.
    pub complete_until: Nanos,
    /// No record follows at all: the aggregator exits.
    pub is_final: bool,
}
