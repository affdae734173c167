//! The rows of the files in which clients record their requests.

use serde::{Deserialize, Serialize};

/// One logical request as a client has recorded it. The field names are the columns of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientUsageRow {
    /// When the first request was sent, in Unix milliseconds.
    pub at_ms: i64,
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
    /// A published name of an outcome; any name other than `whole` and `partial` stands for a
    /// request that was not answered.
    pub outcome: String,
    /// The number of requests that the client sent, including retries.
    pub tries: u32,
    /// The idempotency key or the hash of the query, in hexadecimal.
    pub key: String,
}

impl ClientUsageRow {
    /// Whether the client received an answer, complete or partial.
    pub(super) fn is_answered(&self) -> bool {
        self.outcome == "whole" || self.outcome == "partial"
    }
}
