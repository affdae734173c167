//! How clients use their connections, and the record of each request.

use std::time::Instant;

/// What a client does between its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// It sends requests back to back.
    BackToBack,
    /// It pauses for a short time between requests.
    Paced,
    /// It sends one request and keeps its connection idle until that is closed.
    Idle,
    /// It sends half a request and keeps its connection open.
    HalfRequest,
    /// It sends many searches in one request to the OpenSearch gateway, back to back.
    MultiSearch,
}

impl ClientBehavior {
    /// The behavior of the client with this number; most send requests back to back.
    pub fn of(number: u64) -> ClientBehavior {
        match number % 8 {
            4 => ClientBehavior::MultiSearch,
            5 => ClientBehavior::Paced,
            6 => ClientBehavior::Idle,
            7 => ClientBehavior::HalfRequest,
            _ => ClientBehavior::BackToBack,
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a complete response.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The connection ended before a complete response.
    ConnectionEnded,
    /// There was no complete response within the client's time limit.
    TimedOut,
}

/// One request and how it ended.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its `X-Request-ID`.
    pub name: String,
    /// What its client does between requests.
    pub behavior: ClientBehavior,
    /// When its connection was established.
    pub connected_at: Instant,
    /// When it was sent completely.
    pub sent_at: Instant,
    /// When it ended for its client.
    pub ended_at: Instant,
    /// How it ended.
    pub outcome: RequestOutcome,
}
