//! Joins usage records into logical requests: a client's first request together with its retries.
//!
//! A [`Joiner`] receives records in the order of their arrival and emits logical requests. Each
//! record either joins an earlier record or starts a logical request:
//! - A record with an idempotency key joins the logical request of its tenant and class that has
//!   the same key and whose first record is no older than [`JoinBounds::horizon_ms`], whatever the
//!   outcomes of its records, and whether or not the new record is marked as a retry.
//! - A record without an idempotency key that is marked as a retry joins a record of the same
//!   tenant, class and query hash that was not answered, provided that the first request is no
//!   older than the client timeout of the class, or than [`JoinBounds::horizon_ms`] if that is
//!   shorter. At most one retry joins each record. If several records qualify, `CandidateRank`
//!   decides. An answered record whose reply may not have been sent because its aggregator crashed
//!   also qualifies, but is joined only if no unanswered record qualifies.
//! - Any other record is a first request.
//!
//! A retry that matches no record starts a logical request: its first request never arrived, or the
//! record of the first request was lost in a crash of an aggregator. Because the clocks of two
//! aggregators may differ by [`JoinBounds::skew_ms`], a retry may seem to arrive earlier than its
//! first request by that much.
//!
//! This module is pure: it does no I/O and reads no clock.

mod bounds;
mod joiner;
mod logical_request;
mod record;

pub use bounds::JoinBounds;
pub use joiner::Joiner;
pub use logical_request::LogicalRequest;
pub use record::{RecordId, RecordedOutcome, UsageRecord};
