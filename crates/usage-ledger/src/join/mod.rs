//! Joins usage records into logical requests: a client's first request together with its retries.
//!
//! Records go in by the order of their arrival, logical requests come out. A first request begins a
//! logical request. A record marked as a retry joins an earlier one, at most one retry to each
//! record:
//! - by the client's own idempotency key, whatever became of the earlier requests;
//! - else by tenant, class and the hash of the query, within the class's client timeout of the
//!   first request, to the record that has waited for longest among those that were not answered. A
//!   record whose answer may never have left, for its aggregator died right after, counts as not
//!   answered, but comes last.
//!
//! A retry that finds nothing to join is a logical request of its own: its first request never
//! arrived anywhere, or its record was lost with an aggregator. The clocks of two aggregators may
//! differ by the `skew_ms` of [`Joiner::new`], so a retry may seem to arrive that much earlier than
//! its first request.
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
