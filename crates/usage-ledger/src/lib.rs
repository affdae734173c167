//! The usage ledger: what each aggregator logs of the requests it served, and how that is
//! collected, joined, settled, corrected and exported.
//!
//! [`join`], [`rate`], [`line_counts`], [`closing_decision`], [`period_settler`] and [`period`] are
//! pure: no I/O and no clock. The rest moves bytes: [`log`] and [`writer`] at the aggregator, [`collect`] between aggregator and settlement,
//! [`store`], [`settlement`] and [`export`] at the settlement. A [`statement`] is what a closed
//! period came to, a [`document`] what one tenant is sent of it.

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

/// What crosses process boundaries, as `proto/usage.proto` defines it.
pub mod wire {
    #![allow(missing_docs)]
    tonic::include_proto!("cottonhill.usage.v1");
}
