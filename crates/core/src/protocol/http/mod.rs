//! HTTP/1.1 with clients and the discovery agent: a server codec for complete requests, and a
//! client codec for one watch. A body has a length or is chunked.

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

/// The longest body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest head of a message: it has to fit into one pooled buffer.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The most header fields of a message.
const MAX_HEADERS: usize = 64;

/// Why a request is invalid, with the status of its response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("status {status}: {why}")]
pub struct RequestError {
    /// The status of the response.
    pub status: u16,
    /// The reason as sent in the response; with status 405, the method that is allowed.
    pub why: &'static str,
}

impl RequestError {
    /// An error with status 400.
    pub const fn bad_request(why: &'static str) -> RequestError {
        RequestError { status: 400, why }
    }

    /// The body is longer than [`MAX_BODY_BYTES`].
    const BODY_TOO_LARGE: RequestError = RequestError {
        status: 413,
        why: "body too large",
    };
}
