//! HTTP frontend of the aggregator for a subset of the OpenSearch search API.
//!
//! [`server`] accepts HTTP requests, optionally over [`tls`], and runs each search as one query of
//! the aggregator, subject to the same policy as a native query. The documentation of [`server`]
//! states the call from which on searches and native queries are handled by the same code. The
//! other modules perform no I/O:
//!
//! - [`query_dsl`] parses a request body into a typed search and rewrites it for the shards,
//! - [`merge`] merges the answers of the shards,
//! - [`networks`] determines the client's address and the tenant to which its network belongs,
//! - [`compression`] compresses and decompresses bodies,
//! - [`settings`] reads the gateway's sections of the INI file.

pub mod compression;
mod error;
pub mod merge;
pub mod networks;
pub mod query_dsl;
mod response;
pub mod server;
pub mod settings;
pub mod tls;
