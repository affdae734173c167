//! How a client's connection ends, and the log line for the end.

use crate::engine::ClientId;
use std::io;

/// How a connection ended.
#[derive(Debug)]
pub(super) enum Ending {
    /// The client has closed the connection.
    Disconnected,
    /// The aggregator closes the connection.
    Closed(CloseReason),
}

/// Why the aggregator closes a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum CloseReason {
    /// The engine has requested the close while no request was open.
    Requested,
    /// The last response was sent: the client or the engine did not want the connection to be kept
    /// alive.
    LastResponse,
    /// The connection was new, and no request arrived in time.
    Silent,
    /// The event loop has ended.
    Stopped,
}

/// Numbers of requests and responses on a connection so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExchangeCounts {
    pub(super) requests_read: u64,
    pub(super) responses_sent: u64,
}

/// Logs the end of a connection. An open request is an error only if the aggregator has stopped: a
/// client that has disconnected gets no response, and neither do requests after an invalid one.
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
            tracing::debug!(
                client,
                requests,
                responses,
                "client connection failed: {error}"
            );
        }
    }
}
