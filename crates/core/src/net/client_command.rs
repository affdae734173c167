//! Commands from the driver to the task of a client's connection.

use crate::protocol::query::QueryReply;

/// One command to the task of a client's connection.
pub(super) enum ClientCommand {
    /// Send the reply to the request that the engine has.
    Reply {
        /// The reply.
        reply: Box<QueryReply>,
        /// Close the connection after it.
        close: bool,
    },
    /// Close the connection, unless a complete request was received on it.
    Close,
    /// Close the connection at the end of the drain period, when a request that is on its way is
    /// waited for. See `engine/shutdown.rs`.
    Drain,
}
