//! Rows of the CSV files in which clients record their requests.

use serde::{Deserialize, Serialize};

/// A logical request as a client has recorded it. The field names are the columns of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientUsageRow {
    /// Time at which the client sent the first request, in Unix milliseconds.
    pub at_ms: i64,
    /// Name of the tenant that sent the request.
    pub tenant: String,
    /// Name of the class of the request.
    pub class: String,
    /// Published name of the outcome. Any name other than `whole` and `partial` means that the
    /// request was not answered.
    pub outcome: String,
    /// Number of requests that the client sent: the first request and its retries.
    pub tries: u32,
    /// Key of the request in the ledger, as 16 hexadecimal digits.
    pub key: String,
}

impl ClientUsageRow {
    /// Returns whether the client received an answer, complete or partial.
    pub(super) fn is_answered(&self) -> bool {
        self.outcome == "whole" || self.outcome == "partial"
    }
}
