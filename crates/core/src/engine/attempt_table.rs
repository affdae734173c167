//! The attempts that have not ended.

use super::ids::{AttemptId, ConnectionId, WireId};
use super::MILLISECOND;
use crate::api::{Nanos, ReplicaId, RequestId};
use crate::protocol::leaf::CallPart;
use bytes::Bytes;
use std::collections::BTreeMap;

/// An attempt that has not ended. It outlives its query if cancellation is not allowed.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) replica: ReplicaId,
    pub(super) connection: ConnectionId,
    pub(super) requested_at: Nanos,
    pub(super) times_out_at: Nanos,
    /// Time after which the attempt is dropped if it has not been sent.
    pub(super) latest_start: Option<Nanos>,
    pub(super) shard: u32,
    /// Text of the query.
    pub(super) text: Bytes,
}

impl OpenAttempt {
    /// Returns whether the attempt must not be sent any more.
    pub(super) fn is_expired(&self, now: Nanos) -> bool {
        let past_latest_start = self.latest_start.is_some_and(|latest| latest < now);
        self.times_out_at <= now || past_latest_start
    }

    /// Returns the entry of a call for this attempt, as sent at `now`.
    pub(super) fn call_part(&self, now: Nanos, wire_id: WireId) -> CallPart {
        let time_left = self.times_out_at.saturating_sub(now);
        CallPart {
            id: wire_id,
            shard: self.shard,
            wait_ms: time_left.div_ceil(MILLISECOND),
            text: self.text.clone(),
        }
    }
}

/// The attempts that have not ended.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    attempts: BTreeMap<AttemptId, OpenAttempt>,
}

impl AttemptTable {
    pub(super) fn get(&self, id: AttemptId) -> Option<&OpenAttempt> {
        self.attempts.get(&id)
    }

    /// Returns the attempts at a part that have not ended, in the order of their numbers.
    pub(super) fn of_part(
        &self,
        part: RequestId,
    ) -> impl Iterator<Item = (AttemptId, &OpenAttempt)> + '_ {
        let first = AttemptId { part, number: 0 };
        let last = AttemptId {
            part,
            number: u8::MAX,
        };
        let attempts = self.attempts.range(first..=last);
        attempts.map(|(id, attempt)| (*id, attempt))
    }

    pub(super) fn insert(&mut self, id: AttemptId, attempt: OpenAttempt) {
        self.attempts.insert(id, attempt);
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<OpenAttempt> {
        self.attempts.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }
}
