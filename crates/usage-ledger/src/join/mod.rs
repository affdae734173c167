//! Joins usage records into logical requests: a client's first request together with its retries.
//!
//! A [`Joiner`] takes records in the order of their arrival and returns logical requests. A record
//! joins an earlier one, or starts a logical request:
//! - A record with an idempotency key joins the logical request of its tenant and class that has
//!   the same key, whatever the outcome of its records, and whether or not it is marked as a retry.
//! - A record without a key that is marked as a retry joins a record of the same tenant, class and
//!   query hash that was not answered, if its first request is no older than the client timeout of
//!   the class. Each record is joined by at most one retry. Which of several it joins is the order
//!   of `CandidateRank`. A record whose reply may not have been sent, because its aggregator
//!   crashed, counts as not answered, but is joined only if there is no other.
//! - Any other record is a first request.
//!
//! A retry that matches no record starts a logical request of its own: its first request did not
//! arrive, or the record of that request was lost with an aggregator. The clocks of two aggregators
//! may differ by [`JoinBounds::skew_ms`], so a retry may seem to arrive that much earlier than its
//! first request.
//!
//! Pure: no I/O and no clock.

mod bounds;
mod joiner;
mod logical_request;
mod record;

pub use bounds::JoinBounds;
pub use joiner::Joiner;
pub use logical_request::LogicalRequest;
pub use record::{RecordId, RecordedOutcome, UsageRecord};
