//! Usage records for the usage ledger: one for each query that has ended.

use crate::api::Nanos;
use crate::protocol::query::QueryReply;
use xxhash_rust::xxh3::Xxh3;

/// Value of [`QueryOutcome::Partial`] that stands for the total weight.
const MILLIONTHS_PER_WHOLE: f64 = 1e6;

/// Identifies a logical request, which a client may send several times. The key is the same at
/// every aggregator and in every run, so that a retry at another aggregator is recognized. Keys
/// derived from an idempotency key are odd, others are even, and 0 stands for no key.
pub type JoinKey = u64;

/// Returns the join key of a logical request for which the client has sent an idempotency key.
pub fn client_join_key(class: &str, idempotency_key: &str) -> JoinKey {
    let mut hasher = class_hasher(class);
    hasher.update(idempotency_key.as_bytes());
    hasher.digest() | 1
}

/// Returns the join key of a logical request without an idempotency key. It is derived from the
/// class, the parts (shard and weight, in any order) and the text.
pub fn content_join_key(
    class: &str,
    parts: impl Iterator<Item = (u32, f64)>,
    text: &[u8],
) -> JoinKey {
    let mut parts: Vec<(u32, u64)> = parts
        .map(|(shard, weight)| (shard, weight.to_bits()))
        .collect();
    parts.sort_unstable();
    let mut hasher = class_hasher(class);
    for (shard, weight) in parts {
        hasher.update(&shard.to_le_bytes());
        hasher.update(&weight.to_le_bytes());
    }
    hasher.update(text);
    // Even, and never 0.
    hasher.digest() & !1 | 2
}

/// Returns whether a join key was derived from an idempotency key of the client.
pub fn is_client_key(key: JoinKey) -> bool {
    key & 1 != 0
}

fn class_hasher(class: &str) -> Xxh3 {
    let mut hasher = Xxh3::new();
    hasher.update(class.as_bytes());
    hasher.update(&[0]);
    hasher
}

/// Outcome of a query for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryOutcome {
    /// The client received a complete answer.
    Complete,
    /// The client received a partial answer that covers this share of the weight, in millionths.
    Partial(u32),
    /// The query was rejected. A retry is harmless.
    Rejected,
    /// The query failed. It may have had an effect.
    Failed,
    /// The client disconnected before the reply.
    ClientDisconnected,
}

impl QueryOutcome {
    /// Returns the outcome of a query with this reply, given the weight of all its parts and the
    /// weight of those that have a result.
    pub(super) fn of_reply(
        reply: &QueryReply,
        covered_weight: f64,
        total_weight: f64,
    ) -> QueryOutcome {
        match reply {
            QueryReply::Answer { complete: true, .. } => QueryOutcome::Complete,
            QueryReply::Answer { .. } => {
                let share = covered_weight / total_weight.max(f64::MIN_POSITIVE);
                QueryOutcome::Partial(
                    (share * MILLIONTHS_PER_WHOLE)
                        .round()
                        .clamp(0.0, MILLIONTHS_PER_WHOLE) as u32,
                )
            }
            QueryReply::Rejected { .. } => QueryOutcome::Rejected,
            _ => QueryOutcome::Failed,
        }
    }
}

/// Usage record of a query that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryUsage {
    /// Sequence number of the record, counted from 1 without gaps in each run of the process.
    pub sequence: u64,
    /// Number of the tenant in the settings.
    pub tenant: u32,
    /// Number of the class in the settings.
    pub class: u16,
    /// Time of arrival by the clock of this aggregator, in Unix nanoseconds. It is never before the
    /// [`complete_until`](UsageWatermark::complete_until) of an earlier watermark.
    pub arrived_at: Nanos,
    /// Outcome of the query for its client.
    pub outcome: QueryOutcome,
    /// Number of parts of the query.
    pub parts: u32,
    /// Number of attempts at all parts.
    pub attempts: u32,
    /// Number of these attempts that were requested at replicas in other zones.
    pub cross_zone_attempts: u32,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// Identifies the logical request, and is the same for all queries that request it.
    pub join_key: JoinKey,
    /// Whether the join key was derived from an idempotency key of the client.
    pub has_client_key: bool,
}

/// Statement that the usage records are complete up to a time: every query that arrived before
/// `complete_until` has ended and has a record with a sequence number of at most `sequence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageWatermark {
    /// Sequence number of the last record.
    pub sequence: u64,
    /// Time in Unix nanoseconds. No later record has an earlier arrival.
    pub complete_until: Nanos,
    /// Whether no further record follows, because the aggregator exits.
    pub is_final: bool,
}
