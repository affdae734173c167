//! An OpenSearch-style HTTP frontend on the aggregator's core.
//!
//! [`server`] accepts HTTP requests, optionally over [`tls`], and runs each search as one query of
//! the aggregator, subject to the same policy as every native query; its page says from which call
//! on both are the same. The other modules have no I/O:
//!
//! - [`query_dsl`] parses a request's body into a typed search and rewrites it for the shards,
//! - [`merge`] merges the shards' answers,
//! - [`networks`] finds the client's address and the tenant that it belongs to,
//! - [`compression`] compresses bodies,
//! - [`settings`] reads the sections of the INI file.

pub mod compression;
mod error;
pub mod merge;
pub mod networks;
pub mod query_dsl;
mod response;
pub mod server;
pub mod settings;
pub mod tls;
