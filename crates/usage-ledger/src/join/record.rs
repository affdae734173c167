//! Usage records as the input of joining.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordedOutcome {
    /// Answered completely.
    Complete,
    /// Answered in part, with this share of the weight in millionths.
    Partial(u32),
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// Cancelled by the client.
    Cancelled,
}

impl RecordedOutcome {
    /// The published name, in CSV and in the clients' files.
    pub fn published_name(self) -> &'static str {
        match self {
            RecordedOutcome::Complete => "whole",
            RecordedOutcome::Partial(_) => "partial",
            RecordedOutcome::Rejected => "refused",
            RecordedOutcome::Failed => "failed",
            RecordedOutcome::Cancelled => "left",
        }
    }

    /// The share of a partial answer, in millionths; 0 otherwise.
    pub fn share_millionths(self) -> u32 {
        match self {
            RecordedOutcome::Partial(share_millionths) => share_millionths,
            _ => 0,
        }
    }

    /// Whether the client received an answer, complete or partial.
    pub fn is_answered(self) -> bool {
        matches!(
            self,
            RecordedOutcome::Complete | RecordedOutcome::Partial(_)
        )
    }

    /// The better of two outcomes, where `later` is that of the later record.
    pub(super) fn better(self, later: RecordedOutcome) -> RecordedOutcome {
        match (self, later) {
            (RecordedOutcome::Complete, _) | (_, RecordedOutcome::Complete) => {
                RecordedOutcome::Complete
            }
            (RecordedOutcome::Partial(left), RecordedOutcome::Partial(right)) => {
                RecordedOutcome::Partial(left.max(right))
            }
            (RecordedOutcome::Partial(_), _) => self,
            // Neither was answered: the last response counts.
            (_, later) => later,
        }
    }
}

/// The permanent id of a record. Ids sort by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    /// Arrival in Unix milliseconds.
    pub arrived_at_ms: i64,
    /// The number of the aggregator in the store.
    pub member_id: u32,
    /// The run of the aggregator.
    pub incarnation: u64,
    /// The sequence number of the record in the run.
    pub sequence: u64,
}

/// A request that an aggregator has served, with its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// Arrival in Unix milliseconds, by its aggregator's clock.
    pub arrived_at_ms: i64,
    /// The number of the aggregator in the store.
    pub member_id: u32,
    /// The run of the aggregator.
    pub incarnation: u64,
    /// The sequence number of the record in the run.
    pub sequence: u64,
    /// The number of the tenant in the store.
    pub tenant_id: u32,
    /// The number of the class in the store.
    pub class_id: u32,
    /// How it ended.
    pub outcome: RecordedOutcome,
    /// Shards that were queried.
    pub parts: u32,
    /// Attempts at replicas.
    pub attempts: u32,
    /// Attempts at replicas of another zone.
    pub cross_zone_attempts: u32,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The idempotency key of the client or, if it sent none, the hash of the query.
    pub key: u64,
    /// Whether `key` is the idempotency key of the client.
    pub has_idempotency_key: bool,
    /// The client timeout of the class over all attempts of the client, in milliseconds.
    pub client_timeout_ms: i64,
    /// Whether its aggregator crashed soon afterwards, so that the reply may not have been sent.
    pub reply_uncertain: bool,
}

impl UsageRecord {
    /// The id of the record.
    pub fn id(&self) -> RecordId {
        RecordId {
            arrived_at_ms: self.arrived_at_ms,
            member_id: self.member_id,
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    /// Whether a retry without an idempotency key may belong to this request.
    pub(super) fn may_be_retried(&self) -> bool {
        !self.outcome.is_answered() || self.reply_uncertain
    }
}
