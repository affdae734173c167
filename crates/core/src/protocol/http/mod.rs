//! HTTP/1.1: a server codec for complete requests of clients, and a client codec for a watch on the
//! discovery agent. A body has a length or is chunked.

mod body;
mod head;
mod response;
mod server;
mod watch;
mod watch_scanner;

pub use head::{HeaderField, Request};
pub use response::Response;
pub use server::ServerCodec;
pub use watch::{WatchCodec, WatchRequest};

use crate::memory::ReservationError;

/// Maximum length of the body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of the head of a message, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of header fields of a message.
const MAX_HEADERS: usize = 64;

/// Why a request is invalid, and the status of the response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("status {status}: {why}")]
pub struct RequestError {
    /// Status code of the response.
    pub status: u16,
    /// Reason that is sent in the response; with status 405, the method that is allowed.
    pub why: &'static str,
}

impl RequestError {
    /// Creates an error with status 400.
    pub const fn bad_request(why: &'static str) -> RequestError {
        RequestError { status: 400, why }
    }

    /// Error for a request that was sent too far ahead of the answers to earlier ones.
    pub const TOO_MANY_REQUESTS: RequestError = RequestError {
        status: 429,
        why: "too many requests ahead of their answers",
    };

    /// Error for a request for which no memory is left. The client may retry it.
    pub const OUT_OF_MEMORY: RequestError = RequestError {
        status: 503,
        why: "too many requests are held in memory",
    };

    /// Error for a body that is longer than [`MAX_BODY_BYTES`].
    const BODY_TOO_LARGE: RequestError = RequestError {
        status: 413,
        why: "body too large",
    };
}

impl From<ReservationError> for RequestError {
    fn from(error: ReservationError) -> RequestError {
        match error {
            ReservationError::ConnectionLimit => RequestError::TOO_MANY_REQUESTS,
            ReservationError::BudgetExhausted => RequestError::OUT_OF_MEMORY,
        }
    }
}
