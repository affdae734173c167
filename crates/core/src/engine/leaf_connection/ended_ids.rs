//! The wire ids of attempts that have ended on a connection.
//!
//! A response names only the wire id of its part. All attempts at a part have the same one, and so
//! have the parts of a later query to which its client gave the same id. A wire id is therefore not
//! sent again on a connection on which a response to an earlier attempt may still arrive. The
//! connection consults this record before it accepts an attempt, and for each response that
//! belongs to no attempt in flight.

use crate::api::Nanos;
use crate::engine::ids::WireId;
use crate::engine::timed_keys::TimedKeys;
use crate::engine::MILLISECOND;
use std::collections::BTreeSet;

/// Time after a response within which a copy of it may arrive. Leaf servers send copies directly
/// behind the original. Within this time, a retry needs another connection.
const DUPLICATE_RESPONSE_TIME: Nanos = 200 * MILLISECOND;
/// Minimum number of answered wire ids that are kept, to distinguish a late copy of a response from
/// a malformed one.
const MIN_ANSWERED_IDS: usize = 64;
/// Number of unanswered wire ids at which a connection is not used for further attempts. A leaf
/// server may never answer a cancelled attempt.
const MAX_UNANSWERED_IDS: usize = 256;

/// The wire ids of ended attempts whose frames were passed to the socket.
#[derive(Debug, Default)]
pub(super) struct EndedIds {
    /// Ids of attempts that have ended without a response. It may arrive at any time.
    unanswered: BTreeSet<WireId>,
    /// Ids of attempts with a response, and the time of the response.
    answered: TimedKeys<WireId>,
}

impl EndedIds {
    /// Returns whether a response to an earlier attempt with this wire id may still arrive.
    pub(super) fn may_be_answered(&self, wire_id: &str, now: Nanos) -> bool {
        self.unanswered.contains(wire_id)
            || self
                .answered
                .is_newer_than(wire_id, DUPLICATE_RESPONSE_TIME, now)
    }

    /// Returns whether so many attempts have not been answered that the connection must not be used
    /// for further ones.
    pub(super) fn is_full(&self) -> bool {
        self.unanswered.len() >= MAX_UNANSWERED_IDS
    }

    /// Adds an attempt that has ended without a response.
    pub(super) fn add_unanswered(&mut self, wire_id: WireId) {
        self.answered.remove(&*wire_id);
        self.unanswered.insert(wire_id);
    }

    /// Adds an attempt that has ended with a response.
    pub(super) fn add_answered(&mut self, wire_id: WireId, now: Nanos) {
        self.answered.insert(wire_id, now);
        while self.answered.len() > MIN_ANSWERED_IDS
            && self.answered.drop_older_than(DUPLICATE_RESPONSE_TIME, now)
        {}
    }

    /// Handles a response to an attempt that is not in flight. Returns whether the attempt is one
    /// that has ended.
    pub(super) fn on_late_response(&mut self, wire_id: &str, now: Nanos) -> bool {
        match self.unanswered.take(wire_id) {
            Some(wire_id) => {
                self.add_answered(wire_id, now);
                true
            }
            None => self.answered.contains(wire_id),
        }
    }
}
