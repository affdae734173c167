//! The HTTP server: one query to the aggregator for each search, one response for each request.
//!
//! The way of a search, by files of this folder:
//!
//! 1. `listener.rs` accepts the connection, `connection.rs` serves it, `http.rs` handles one
//!    request and `router.rs` finds its handler.
//! 2. `search.rs` parses the body; `multi_search.rs` runs several searches.
//! 3. `execution.rs` makes a [`QueryRequest`] of the search: the index determines the class,
//!    `tenant.rs` the tenant, and `shard_selection.rs` the parts. [`InternalClient::send_query`]
//!    sends it to the engine.
//! 4. `execution.rs` receives the [`QueryReply`], `shard_selection.rs` checks that the shards'
//!    answers suffice, and `search.rs` merges them and renders the response.
//!
//! From [`InternalClient::send_query`] on (`core/src/net/internal_client.rs`), a search is the same
//! as a native query: both reach the engine as [`Input::RequestReceived`] with a [`QueryRequest`],
//! each from a client that has connected. A query does not state its frontend: the engine and the
//! policy treat both alike.
//!
//! Shutdown: while the aggregator drains, `http.rs` closes each connection with its response. Once
//! it accepts no more connections, `listener.rs` accepts those in its backlog and ends, and
//! `connection.rs` closes each connection after a short time and the response in flight. The
//! process may exit when the last clone of the [`InternalClient`] is dropped.
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
