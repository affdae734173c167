//! The attempts of a connection that have not ended, by wire id. Attempts that are still queued are
//! included.

use super::ended_ids::EndedIds;
use super::write_queue::CallEntry;
use crate::api::Nanos;
use crate::engine::ids::{AttemptId, WireId};
use std::collections::BTreeMap;

/// What the wire id of a response refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// An attempt that was in flight and that this response ends.
    Attempt(AttemptId),
    /// An attempt that had already ended: the response is a duplicate, or was sent before the
    /// cancellation arrived.
    AlreadyEnded,
    /// Neither a written attempt nor one that has ended: the response is malformed.
    Unknown,
}

/// Progress of an attempt: queued, being written or written.
#[derive(Clone, Debug)]
pub(super) struct AttemptProgress {
    pub(super) attempt: AttemptId,
    /// Time at which its frame was passed to the socket, or `None` while it is queued.
    pub(super) write_started_at: Option<Nanos>,
    /// Whether the socket has accepted the last byte of its frame.
    pub(super) is_written: bool,
}

/// The attempts of a connection that have not ended, and the wire ids of those that have.
#[derive(Debug, Default)]
pub(super) struct InFlightAttempts {
    attempts: BTreeMap<WireId, AttemptProgress>,
    ended_ids: EndedIds,
}

impl InFlightAttempts {
    pub(super) fn insert(&mut self, entry: &CallEntry) {
        let progress = AttemptProgress {
            attempt: entry.attempt,
            write_started_at: None,
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

    /// Returns whether an attempt with this wire id may be added: only if each response with the id
    /// from now on belongs to that attempt.
    pub(super) fn may_add(&self, wire_id: &str, now: Nanos) -> bool {
        !self.ended_ids.is_full()
            && !self.attempts.contains_key(wire_id)
            && !self.ended_ids.may_be_answered(wire_id, now)
    }

    /// Returns whether no attempt may be added any more.
    pub(super) fn is_worn_out(&self) -> bool {
        self.ended_ids.is_full()
    }

    /// Returns the attempts in the order of their wire ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = &AttemptProgress> {
        self.attempts.values()
    }

    /// Records that the frame of a call has been passed to the socket.
    pub(super) fn on_write_started(&mut self, call: &[CallEntry], now: Nanos) {
        self.update(call, |progress| progress.write_started_at = Some(now));
    }

    /// Records that the socket has accepted the last byte of a call.
    pub(super) fn on_written(&mut self, call: &[CallEntry]) {
        self.update(call, |progress| progress.is_written = true);
    }

    fn update(&mut self, call: &[CallEntry], update: impl Fn(&mut AttemptProgress)) {
        for entry in call {
            let progress = self.attempts.get_mut(&entry.wire_id);
            // A later attempt may use the wire id of one that was cancelled.
            if let Some(progress) = progress.filter(|other| other.attempt == entry.attempt) {
                update(progress);
            }
        }
    }

    /// Ends the attempt that a response refers to, which was received at `now`. If that attempt has
    /// not been written yet, the response belongs to an earlier attempt with the same wire id.
    pub(super) fn match_response(&mut self, wire_id: &str, now: Nanos) -> ResponseMatch {
        let entry = self.attempts.get_key_value(wire_id);
        match entry.filter(|(_, progress)| progress.is_written) {
            Some((wire_id, progress)) => {
                let (wire_id, attempt) = (wire_id.clone(), progress.attempt);
                self.attempts.remove(&wire_id);
                self.ended_ids.add_answered(wire_id, now);
                ResponseMatch::Attempt(attempt)
            }
            None if self.ended_ids.on_late_response(wire_id, now) => ResponseMatch::AlreadyEnded,
            None => ResponseMatch::Unknown,
        }
    }

    /// Returns the attempt that a malformed response is attributed to: the attempt with its wire
    /// id, or else the one that has been in flight for longest.
    pub(super) fn attempt_of_malformed_response(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        let is_written = |progress: &&AttemptProgress| progress.is_written;
        let named = wire_id
            .and_then(|wire_id| self.attempts.get(wire_id))
            .filter(is_written);
        let oldest = || {
            let candidates = self.iter().filter(is_written);
            candidates.min_by_key(|progress| (progress.write_started_at, progress.attempt))
        };
        named.or_else(oldest).map(|progress| progress.attempt)
    }

    /// Removes an attempt that has ended without a response and returns its wire id and progress.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<(WireId, AttemptProgress)> {
        let mut entries = self.attempts.iter();
        let (wire_id, _) = entries.find(|(_, progress)| progress.attempt == attempt)?;
        let wire_id = wire_id.clone();
        self.attempts.remove_entry(&wire_id)
    }

    /// Records that an attempt whose frame was passed to the socket has ended without a response.
    pub(super) fn on_ended_without_response(&mut self, wire_id: WireId) {
        self.ended_ids.add_unanswered(wire_id);
    }
}
