//! The usage ledger: each aggregator records the requests that it serves, and a settlement process
//! collects, joins, settles, corrects and exports these records.
//!
//! Terms:
//! - A *member* is an aggregator whose usage log the settlement collects.
//! - A *run* is one lifetime of an aggregator process, identified by its incarnation.
//! - A *watermark* is an entry of the usage log. The records of all requests that arrived before
//!   its time precede it. Its published name is `Mark`.
//! - A *logical request* is a client's first request with its retries. Its published name is *use*.
//!
//! The rules are pure: they do no I/O and read no clock.
//! - [`join`]: which records belong to one logical request.
//! - [`period`]: the billing periods.
//! - [`closing_decision`]: when a period may close.
//! - [`period_settler`] and [`line_counts`]: the counts of a period, and its adjustments for late
//!   records.
//! - [`rate`]: the price of the counted usage.
//!
//! In the aggregator, [`writer`] writes the usage log in the format of [`log`], and [`collect`]
//! serves the log over gRPC. The settlement is a separate process: [`settlement`] follows the logs
//! of all aggregators, [`store`] stores records and statements, and [`export`] delivers documents.
//!
//! A [`statement`] is the result of a closed period, and a [`document`] is the part of a statement
//! that one tenant receives. [`reconcile`] compares the ledger with the records that clients keep
//! of their requests.

pub mod closing_decision;
pub mod collect;
pub mod document;
pub mod export;
pub mod join;
pub mod line_counts;
pub mod log;
pub mod period;
pub mod period_settler;
pub mod rate;
pub mod reconcile;
pub mod settings;
pub mod settlement;
pub mod statement;
pub mod store;
pub mod writer;

/// Protobuf messages of the usage log and of the collection service, generated from
/// `proto/usage.proto`.
pub mod wire {
    #![allow(
        missing_docs,
        clippy::allow_attributes_without_reason,
        clippy::doc_markdown,
        clippy::missing_errors_doc,
        clippy::too_many_lines,
        reason = "generated code"
    )]
    tonic::include_proto!("cottonhill.usage.v1");
}
