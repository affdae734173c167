//! How a client's connection ends, and its last log line.

use crate::engine::ClientId;
use std::io;

/// How a connection ended.
#[derive(Debug)]
pub(super) enum Ending {
    /// The client has closed it.
    Disconnected,
    /// This side closes it.
    Closed(CloseReason),
}

/// Why this side closes a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum CloseReason {
    /// The engine has requested it while no request was open.
    Requested,
    /// Its last response was sent: the client or the engine wanted no other request on it.
    LastResponse,
    /// It was new, and no request arrived.
    Silent,
    /// The event loop has ended.
    Stopped,
}

/// What a connection has carried so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExchangeCounts {
    pub(super) requests_read: u64,
    pub(super) responses_sent: u64,
}

/// Logs how a connection has ended. An open request is an error only where this side stopped: a
/// client that has disconnected gets no response, nor does what follows an invalid request.
pub(super) fn log_ending(client: ClientId, counts: ExchangeCounts, ending: &io::Result<Ending>) {
    let ExchangeCounts {
        requests_read: requests,
        responses_sent: responses,
    } = counts;
    match ending {
        Ok(Ending::Closed(CloseReason::Stopped)) if requests > responses => tracing::error!(
            client,
            requests,
            responses,
            "client connection closed with a request unanswered"
        ),
        Ok(ending) => tracing::debug!(
            client,
            requests,
            responses,
            ?ending,
            "client connection ended"
        ),
        Err(error) => {
            tracing::debug!(client, requests, responses, "client connection: {error}");
        }
    }
}
