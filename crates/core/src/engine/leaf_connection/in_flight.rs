//! The attempts of a connection that have not ended, by the ids that stand for them in frames. They
//! include those that are still queued.

use super::write_queue::CallEntry;
use crate::api::Nanos;
use crate::engine::ids::{AttemptId, WireId};
use std::collections::{BTreeMap, VecDeque};

/// The most ids kept of attempts that have ended, to distinguish a late response from an unknown
/// one. A leaf server has fewer responses under way.
const MAX_ENDED_IDS: usize = 64;

/// What the wire id of a response stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// An attempt that was in flight and has ended with this response.
    Attempt(AttemptId),
    /// An attempt that has ended before: the response is a duplicate, or was sent before our
    /// cancellation arrived.
    AlreadyEnded,
    /// Nothing that was ever written to this connection: the response is malformed.
    Unknown,
}

/// How far an attempt has come: queued, being written or written.
#[derive(Clone, Debug)]
pub(super) struct AttemptProgress {
    pub(super) attempt: AttemptId,
    /// When the socket was given its frame.
    pub(super) given_at: Option<Nanos>,
    /// The socket has taken the last byte of its frame.
    pub(super) is_written: bool,
}

/// The attempts of a connection that have not ended, and the wire ids of some that have.
#[derive(Debug, Default)]
pub(super) struct InFlightAttempts {
    attempts: BTreeMap<WireId, AttemptProgress>,
    /// Wire ids that were written and have ended, latest last.
    ended_ids: VecDeque<WireId>,
}

impl InFlightAttempts {
    pub(super) fn insert(&mut self, entry: &CallEntry) {
        let progress = AttemptProgress {
            attempt: entry.attempt,
            given_at: None,
            is_written: false,
        };
        self.attempts.insert(entry.wire_id.clone(), progress);
    }

    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn contains(&self, wire_id: &str) -> bool {
        self.attempts.contains_key(wire_id)
    }

    /// The attempts in the order of their wire ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = &AttemptProgress> {
        self.attempts.values()
    }

    /// The socket was given a call.
    pub(super) fn on_given(&mut self, call: &[CallEntry], now: Nanos) {
        self.update(call, |progress| progress.given_at = Some(now));
    }

    /// The socket has taken the last byte of a call.
    pub(super) fn on_written(&mut self, call: &[CallEntry]) {
        self.update(call, |progress| progress.is_written = true);
    }

    fn update(&mut self, call: &[CallEntry], update: impl Fn(&mut AttemptProgress)) {
        for entry in call {
            let progress = self.attempts.get_mut(&entry.wire_id);
            // A later attempt may have taken the wire id of one that was cancelled.
            if let Some(progress) = progress.filter(|other| other.attempt == entry.attempt) {
                update(progress);
            }
        }
    }

    /// Ends the attempt that a response is for. A response to an attempt that is not written yet
    /// is for an earlier attempt with the same wire id.
    pub(super) fn match_response(&mut self, wire_id: &str) -> ResponseMatch {
        let entry = self.attempts.get_key_value(wire_id);
        match entry.filter(|(_, progress)| progress.is_written) {
            Some((wire_id, progress)) => {
                let (wire_id, attempt) = (wire_id.clone(), progress.attempt);
                self.attempts.remove(&wire_id);
                self.remember_ended(wire_id);
                ResponseMatch::Attempt(attempt)
            }
            None if self.ended_ids.iter().any(|ended| **ended == *wire_id) => {
                ResponseMatch::AlreadyEnded
            }
            None => ResponseMatch::Unknown,
        }
    }

    /// The attempt that a malformed response is assigned to: the one with its wire id, else the
    /// one that has been in flight for longest.
    pub(super) fn attempt_of_malformed_response(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        let is_written = |progress: &&AttemptProgress| progress.is_written;
        let named = wire_id
            .and_then(|wire_id| self.attempts.get(wire_id))
            .filter(is_written);
        let oldest = || {
            let candidates = self.iter().filter(is_written);
            candidates.min_by_key(|progress| (progress.given_at, progress.attempt))
        };
        named.or_else(oldest).map(|progress| progress.attempt)
    }

    /// Removes an attempt that has ended without a response, with its wire id.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<(WireId, AttemptProgress)> {
        let mut entries = self.attempts.iter();
        let (wire_id, _) = entries.find(|(_, progress)| progress.attempt == attempt)?;
        let wire_id = wire_id.clone();
        self.attempts.remove_entry(&wire_id)
    }

    /// Keeps the wire id of an attempt that has ended, for its late response.
    pub(super) fn remember_ended(&mut self, wire_id: WireId) {
        if self.ended_ids.len() == MAX_ENDED_IDS {
            self.ended_ids.pop_front();
        }
        self.ended_ids.push_back(wire_id);
    }
}
