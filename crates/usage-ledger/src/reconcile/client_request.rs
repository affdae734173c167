//! The clients' own records of their requests.

use serde::{Deserialize, Serialize};

/// One logical request as a client recorded it: a row of its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRequest {
    /// When the first request was sent, in Unix milliseconds.
    pub at_ms: i64,
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
    /// A published name of an outcome; any name other than `whole` and `partial` stands for a
    /// request that was not answered.
    pub outcome: String,
    /// How many requests the client made, with retries.
    pub tries: u32,
    /// The key that joins its requests, in hexadecimal.
    pub key: String,
}

impl ClientRequest {
    /// Whether the client received an answer, complete or partial.
    pub(super) fn is_answered(&self) -> bool {
        self.outcome == "whole" || self.outcome == "partial"
    }
}
