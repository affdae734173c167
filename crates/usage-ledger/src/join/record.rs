//! Usage records and their outcomes.

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordedOutcome {
    /// The client received a complete answer.
    Complete,
    /// The client received a partial answer, which covers this share of the total weight, in
    /// millionths.
    Partial(u32),
    /// The aggregator rejected the request.
    Rejected,
    /// The aggregator accepted the request but could not answer it.
    Failed,
    /// The client cancelled the request before it was answered.
    Cancelled,
}

impl RecordedOutcome {
    /// Returns the published name of the outcome, which is used in CSV output and in the files of
    /// clients.
    pub fn published_name(self) -> &'static str {
        match self {
            RecordedOutcome::Complete => "whole",
            RecordedOutcome::Partial(_) => "partial",
            RecordedOutcome::Rejected => "refused",
            RecordedOutcome::Failed => "failed",
            RecordedOutcome::Cancelled => "left",
        }
    }

    /// Returns the share of a partial answer, in millionths; 0 for any other outcome.
    pub fn share_millionths(self) -> u32 {
        match self {
            RecordedOutcome::Partial(share_millionths) => share_millionths,
            _ => 0,
        }
    }

    /// Returns whether the client received an answer, complete or partial.
    pub fn is_answered(self) -> bool {
        matches!(
            self,
            RecordedOutcome::Complete | RecordedOutcome::Partial(_)
        )
    }

    /// Returns the better of two outcomes, where `later` is the outcome of the later record.
    pub(super) fn better(self, later: RecordedOutcome) -> RecordedOutcome {
        match (self, later) {
            (RecordedOutcome::Complete, _) | (_, RecordedOutcome::Complete) => {
                RecordedOutcome::Complete
            }
            (RecordedOutcome::Partial(share), RecordedOutcome::Partial(later_share)) => {
                RecordedOutcome::Partial(share.max(later_share))
            }
            (RecordedOutcome::Partial(_), _) => self,
            // Neither record is answered: the outcome of the later one counts.
            (_, later) => later,
        }
    }
}

/// Permanent id of a record. Ids sort by arrival time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    /// Arrival time in Unix milliseconds, by the clock of the aggregator.
    pub arrived_at_ms: i64,
    /// Id that the store has assigned to the aggregator.
    pub member_id: u32,
    /// Run of the aggregator that wrote the record.
    pub incarnation: u64,
    /// Sequence number of the record within the run.
    pub sequence: u64,
}

/// Record of one request that an aggregator has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// Arrival time in Unix milliseconds, by the clock of the aggregator.
    pub arrived_at_ms: i64,
    /// Id that the store has assigned to the aggregator.
    pub member_id: u32,
    /// Run of the aggregator that wrote the record.
    pub incarnation: u64,
    /// Sequence number of the record within the run.
    pub sequence: u64,
    /// Id that the store has assigned to the tenant.
    pub tenant_id: u32,
    /// Id that the store has assigned to the class.
    pub class_id: u32,
    /// Outcome that the aggregator recorded when the request ended.
    pub outcome: RecordedOutcome,
    /// Number of shards that were queried.
    pub parts: u32,
    /// Number of attempts on replicas in all zones.
    pub attempts: u32,
    /// Number of attempts on replicas outside the aggregator's zone.
    pub cross_zone_attempts: u32,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Hash of the idempotency key that the client sent or, if it sent none, of the query.
    pub key: u64,
    /// Whether `key` is derived from an idempotency key.
    pub has_idempotency_key: bool,
    /// Client timeout of the class: the maximum time that a client waits over all its requests, in
    /// milliseconds.
    pub client_timeout_ms: i64,
    /// Whether the reply may not have been sent, because the aggregator crashed soon afterwards.
    pub is_reply_uncertain: bool,
}

impl UsageRecord {
    /// Returns the permanent id of the record.
    pub fn id(&self) -> RecordId {
        RecordId {
            arrived_at_ms: self.arrived_at_ms,
            member_id: self.member_id,
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    /// Returns whether a retry without an idempotency key may follow this record.
    pub(super) fn may_be_retried(&self) -> bool {
        !self.outcome.is_answered() || self.is_reply_uncertain
    }
}
