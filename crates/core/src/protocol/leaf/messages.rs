//! Messages that are exchanged with a leaf server.

use bytes::Bytes;
use std::rc::Rc;

/// A part of a query within a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    /// Id of the part at the leaf server.
    pub id: Rc<str>,
    /// Number of the shard to search.
    pub shard: u32,
    /// Time that the aggregator waits for the result, in milliseconds.
    pub wait_ms: u64,
    /// Text of the query.
    pub text: Bytes,
}

/// A frame to a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafRequest {
    /// Requests the results of these parts.
    Call(Vec<CallPart>),
    /// Cancels the part with this id.
    Cancel(Rc<str>),
    /// Checks whether the leaf server is healthy.
    HealthCheck,
    /// Requests a load report.
    LoadReport,
}

/// Outcome of a part as reported by the leaf server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// `ok`: the part has a value.
    Ok,
    /// `err`: the part failed.
    Error,
    /// `busy`: the leaf server rejected the part.
    Busy,
}

/// A frame from a leaf server, including one that could not be decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafResponse {
    /// The leaf server has finished or rejected one part of a call.
    PartResult {
        /// Id of the part, as given in the call.
        id: String,
        /// Outcome of the part.
        status: PartStatus,
        /// Load report sent with the result; a malformed one counts as no report.
        report: String,
        /// Value of the part, which is used only with [`PartStatus::Ok`].
        value: Bytes,
    },
    /// The answer to a health check or to a request for a load report.
    HealthCheckResult {
        /// Whether the leaf server reports that it is healthy.
        ok: bool,
        /// Load report sent with the answer; a malformed one counts as no report.
        report: String,
    },
    /// The leaf server could not decode the previous frame and closes the connection.
    ProtocolError(String),
    /// A frame that could not be decoded, with the id of its part if that arrived completely. The
    /// start of the next frame is unknown, so the connection is unusable.
    Malformed(Option<String>),
}
