//! Commands from the driver to the tasks of client connections.

use crate::protocol::query::QueryReply;

/// Command to the task of a client connection.
pub(super) enum ClientCommand {
    /// Send the reply to the open request.
    Reply {
        reply: Box<QueryReply>,
        /// Whether to close the connection after the reply.
        close: bool,
    },
    /// Close the connection, unless a complete request has arrived on it or the first request of a
    /// new connection arrives shortly after.
    Close,
    /// Close the connection at the end of the drain period (`engine/shutdown.rs`), after a short
    /// wait for a request in transit.
    Drain,
}
