//! The HTTP server: one query to the aggregator for each search, one response for each request.

mod body;
mod connection;
mod context;
mod execution;
mod http;
mod metadata;
mod multi_search;
mod parameters;
mod router;
mod search;
mod tenant;

pub use connection::start;
