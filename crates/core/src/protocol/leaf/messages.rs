//! The messages that are exchanged with a leaf server.

use bytes::Bytes;
use std::rc::Rc;

/// One part of a query within a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    /// Identifies the part at the leaf server.
    pub id: Rc<str>,
    /// The shard to search.
    pub shard: u32,
    /// How long the aggregator waits for the result, in milliseconds.
    pub wait_ms: u64,
    /// The query's text.
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

/// How a part ended, as the leaf server states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// `ok`: the part has a value.
    Ok,
    /// `err`: the part failed.
    Error,
    /// `busy`: the leaf server rejected the part.
    Busy,
}

/// A frame from a leaf server, which may be one that could not be decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafResponse {
    /// A part has ended.
    PartResult {
        /// The part's id, as given in the call.
        id: String,
        /// How the part ended.
        status: PartStatus,
        /// The load report that was sent with it; one that is not readable counts as none.
        report: String,
        /// The result, empty unless the status is [`PartStatus::Ok`].
        value: Bytes,
    },
    /// The answer to a health check or to a request for a load report.
    HealthCheckResult {
        /// The leaf server reports that it is healthy.
        ok: bool,
        /// The load report.
        report: String,
    },
    /// The leaf server could not decode the previous frame and closes the connection.
    ProtocolError(String),
    /// A frame that could not be decoded, with the id of its part if that was readable. The start
    /// of the next frame is unknown, so the connection is unusable.
    Malformed(Option<String>),
}
