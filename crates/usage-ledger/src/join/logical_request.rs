//! Logical requests: groups of records that belong to one request of a client.

use super::record::{RecordId, RecordedOutcome, UsageRecord};

/// A first request together with its retries: the unit of billing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogicalRequest {
    /// Records in the order in which they were joined; never empty.
    pub records: Vec<UsageRecord>,
    /// Best outcome among the records.
    pub outcome: RecordedOutcome,
    /// Retries among the records that could have been joined to another request, with different
    /// counts as a result.
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

    /// Returns the record of the client's first request or, if that record is missing, of the retry
    /// that started the logical request.
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

/// Whether a record could be joined in only one way.
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
