//! The endpoint list as discovery sends it: a snapshot, or a delta to the previous list.

use serde::Deserialize;

/// One leaf server on the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    /// Its unique name.
    pub name: String,
    /// Its address, as `host:port`.
    pub address: String,
    /// The zone that it runs in; empty if unknown.
    #[serde(default)]
    pub zone: String,
    /// The group of shards that it holds.
    pub group: u16,
    /// Whether it accepts queries.
    pub status: Status,
    /// Its last start, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// The status of a leaf server on the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It accepts queries.
    Up,
    /// It finishes the queries that it has and accepts no new ones.
    Draining,
    /// It no longer exists.
    Removed,
}

/// One message of a watch on the list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct EndpointUpdate {
    /// The version of the list after this update.
    pub index: u64,
    /// `endpoints` is the complete list, and not the changes since the previous version.
    pub snapshot: bool,
    /// The leaf servers that are listed or have changed.
    pub endpoints: Vec<Endpoint>,
}

/// A message of a watch that is not an endpoint update.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct MalformedUpdate(#[from] serde_json::Error);

/// Parses one message of a watch; none for an empty message, which is the agent's heartbeat.
///
/// # Errors
///
/// The message is no endpoint update.
pub fn parse_message(bytes: &[u8]) -> Result<Option<EndpointUpdate>, MalformedUpdate> {
    let bytes = bytes.trim_ascii();
    if bytes.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(bytes)?))
}
