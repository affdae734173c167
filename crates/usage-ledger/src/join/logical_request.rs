//! Logical requests: the records that belong together.

use super::record::{RecordId, RecordedOutcome, UsageRecord};

/// A first request together with its retries: the unit that is billed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogicalRequest {
    /// Its records in the order in which they were joined; at least one.
    pub records: Vec<UsageRecord>,
    /// The best outcome of its records.
    pub outcome: RecordedOutcome,
    /// The retries among its records that could have been joined in another way, which would have
    /// changed the counts.
    pub ambiguous: Vec<RecordId>,
}

impl LogicalRequest {
    pub(super) fn new(first: UsageRecord, certainty: JoinCertainty) -> LogicalRequest {
        let ambiguous = match certainty {
            JoinCertainty::Certain => Vec::new(),
            JoinCertainty::Ambiguous => vec![first.id()],
        };
        LogicalRequest {
            records: vec![first],
            outcome: first.outcome,
            ambiguous,
        }
    }

    /// The first request, or the earliest one that has a record.
    pub fn first(&self) -> &UsageRecord {
        &self.records[0]
    }

    pub(super) fn last(&self) -> &UsageRecord {
        &self.records[self.records.len() - 1]
    }

    pub(super) fn join(&mut self, retry: UsageRecord, certainty: JoinCertainty) {
        self.outcome = self.outcome.better(retry.outcome);
        if certainty == JoinCertainty::Ambiguous {
            self.ambiguous.push(retry.id());
        }
        self.records.push(retry);
    }
}

/// Whether a record could have been joined in another way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JoinCertainty {
    Certain,
    Ambiguous,
}

impl JoinCertainty {
    pub(super) fn from_ambiguity(is_ambiguous: bool) -> JoinCertainty {
        if is_ambiguous {
            JoinCertainty::Ambiguous
        } else {
            JoinCertainty::Certain
        }
    }
}
