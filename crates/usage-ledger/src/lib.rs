//! The usage ledger: what each aggregator logs of the requests that it served, and how these logs
//! are collected, joined, settled, corrected and exported.
//!
//! The rules are pure, without I/O and clock:
//! - [`join`]: which records belong to one logical request.
//! - [`period`]: the billing periods.
//! - [`closing_decision`]: when a period may close.
//! - [`period_settler`] and [`line_counts`]: what a period counts, and what late records change.
//! - [`rate`]: the price of what is counted.
//!
//! At the aggregator, [`writer`] writes the usage log in the format of [`log`], and [`collect`]
//! serves it over gRPC. The settlement is a process of its own: [`settlement`] follows the logs of
//! all aggregators, [`store`] keeps records and statements, and [`export`] sends documents.
//!
//! A [`statement`] is the result of a closed period, a [`document`] the part of it that one tenant
//! receives. [`reconcile`] compares the ledger with the clients' own records.

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

/// The messages between processes and in segments, generated from `proto/usage.proto`.
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
