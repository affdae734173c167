//! Use by tenant: what each mixer's log holds, how it is collected, joined, settled, corrected and
//! exported.
//!
//! [`join`], [`rate`], [`settle`] and [`period`] are pure: no I/O and no clock. The rest moves
//! bytes: [`log`] and [`writer`] at the mixer, [`collect`] between mixer and settlement, [`store`],
//! [`settlement`] and [`export`] at the settlement.

pub mod collect;
pub mod export;
pub mod join;
pub mod log;
pub mod period;
pub mod rate;
pub mod reconcile;
pub mod settings;
pub mod settle;
pub mod settlement;
pub mod store;
pub mod writer;

/// What crosses process boundaries, as `proto/usage.proto` states it.
pub mod wire {
    #![allow(missing_docs)]
    tonic::include_proto!("cottonhill.usage.v1");
}
