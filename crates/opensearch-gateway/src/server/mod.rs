//! The HTTP server, which sends one query to the aggregator for each search.
//!
//! A search passes through the files of this module in the following order:
//!
//! 1. `listener.rs` accepts the connection, `connection.rs` serves it, `http.rs` handles one
//!    request and `router.rs` selects its handler.
//! 2. `search.rs` parses the body of one search; `multi_search.rs` runs several searches.
//! 3. `execution.rs` turns the search into a [`QueryRequest`]: the index determines the class,
//!    `tenant.rs` the tenant, and `shard_selection.rs` the parts. [`InternalClient::send_query`]
//!    passes the query to the engine.
//! 4. `execution.rs` receives the [`QueryReply`], `shard_selection.rs` checks that the answers
//!    cover enough of the selected shards, and `search.rs` merges the answers and renders the
//!    response.
//!
//! From [`InternalClient::send_query`] on (`core/src/net/internal_client.rs`), a search is handled
//! like a native query: both reach the engine as [`Input::RequestReceived`] with a [`QueryRequest`]
//! from a connected client. A query does not state which frontend received it, so the engine and
//! the policy cannot treat the two differently.
//!
//! # Shutdown
//!
//! While the aggregator drains, `http.rs` closes each connection after its next response. When the
//! aggregator stops accepting connections, `listener.rs` accepts the connections in its backlog and
//! then closes the listener; `connection.rs` waits for a short delay, completes the response in
//! flight and closes the connection. The process may exit when the last clone of the
//! [`InternalClient`] is dropped.
//!
//! [`Input::RequestReceived`]: aggregator_core::engine::Input::RequestReceived
//! [`InternalClient`]: aggregator_core::net::InternalClient
//! [`InternalClient::send_query`]: aggregator_core::net::InternalClient::send_query
//! [`QueryRequest`]: aggregator_core::protocol::query::QueryRequest
//! [`QueryReply`]: aggregator_core::protocol::query::QueryReply

mod body;
mod connection;
mod context;
mod execution;
mod http;
mod listener;
mod metadata;
mod multi_search;
mod parameters;
mod router;
mod search;
mod shard_selection;
mod tenant;

pub use listener::start;
