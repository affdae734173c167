//! The endpoint list as sent by the discovery agent: a snapshot, or a delta to the previous list.

use serde::Deserialize;

/// A leaf server on the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    /// Unique name of the leaf server.
    pub name: String,
    /// Address of the leaf server, as `host:port`.
    pub address: String,
    /// Zone that the leaf server runs in; empty if unknown.
    #[serde(default)]
    pub zone: String,
    /// Number of the group of shards that the leaf server holds.
    pub group: u16,
    /// Whether the leaf server accepts queries.
    pub status: Status,
    /// Time of the last start, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// Status of a leaf server on the endpoint list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The leaf server accepts queries.
    Up,
    /// The leaf server finishes its open queries and accepts no new ones.
    Draining,
    /// The leaf server no longer exists.
    Removed,
}

/// A message of a watch on the endpoint list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct EndpointUpdate {
    /// Version of the list after this update.
    pub index: u64,
    /// Whether `endpoints` is the complete list rather than the changes since the previous version.
    pub snapshot: bool,
    /// The leaf servers on the list, or those that have changed.
    pub endpoints: Vec<Endpoint>,
}

/// Error for a message of a watch that is not an endpoint update.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct MalformedUpdate(#[from] serde_json::Error);

/// Parses a message of a watch. Returns `None` for an empty message, which is a heartbeat of the
/// discovery agent.
///
/// # Errors
///
/// Returns an error if the message is not an endpoint update.
pub fn parse_message(bytes: &[u8]) -> Result<Option<EndpointUpdate>, MalformedUpdate> {
    let bytes = bytes.trim_ascii();
    if bytes.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(bytes)?))
}
