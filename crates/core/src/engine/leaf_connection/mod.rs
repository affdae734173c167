//! The state machine of one connection to a leaf server.
//!
//! It holds the frames that wait to be written and the attempts that are in flight, and decides
//! which frame is written next. It has no socket: the engine passes on what the socket reports.
//!
//! Invariants: the socket has at most one frame at a time, and each attempt that is queued leaves
//! the connection exactly once, by its response, by [`LeafConnection::cancel_attempt`] or by
//! [`LeafConnection::end`].

mod in_flight;
mod write_queue;

pub use in_flight::ResponseMatch;
pub use write_queue::{CallEntry, CallPlacement, OutgoingFrame};

use super::ids::{AttemptId, HealthCheckId};
use crate::api::Nanos;
use in_flight::InFlightAttempts;
use std::collections::VecDeque;
use write_queue::WriteQueue;

/// Whether a connection has been established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafConnectionPhase {
    /// Not yet.
    Connecting,
    /// It has.
    Open,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The socket has reported the end, and before it every frame that it took completely.
    ReportedBySocket,
    /// We close the connection: the report of a frame that the socket took may still follow.
    ClosedByUs,
}

/// An attempt that was in flight when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LostAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The leaf server may have executed it.
    pub may_have_run: bool,
}

/// What was in flight when a connection ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LostWork {
    /// The attempts, in the order of their wire ids.
    pub attempts: Vec<LostAttempt>,
    /// The health checks, those written first.
    pub health_checks: Vec<HealthCheckId>,
}

/// The state of one connection to a leaf server.
#[derive(Debug)]
pub struct LeafConnection {
    phase: LeafConnectionPhase,
    queue: WriteQueue,
    in_flight: InFlightAttempts,
    /// Health checks that were written, in order. Responses carry no id, so one that is cancelled
    /// keeps its place as `None`.
    written_health_checks: VecDeque<Option<HealthCheckId>>,
    last_activity: Nanos,
    /// It left an attempt without any response, and nothing has come in on it since.
    is_unresponsive: bool,
}

impl LeafConnection {
    /// A connection that is being established.
    pub fn new(now: Nanos) -> LeafConnection {
        LeafConnection {
            phase: LeafConnectionPhase::Connecting,
            queue: WriteQueue::default(),
            in_flight: InFlightAttempts::default(),
            written_health_checks: VecDeque::new(),
            last_activity: now,
            is_unresponsive: false,
        }
    }

    /// Whether the connection has been established.
    pub fn phase(&self) -> LeafConnectionPhase {
        self.phase
    }

    /// Whether one more attempt with this wire id, or a health check without one, may be sent on
    /// it. Two attempts with one wire id can't be distinguished, and nothing new is sent while the
    /// connection is unresponsive.
    pub fn has_capacity(&self, max_streams: usize, wire_id: Option<&str>) -> bool {
        !self.is_unresponsive
            && self.streams_in_use() < max_streams
            && !wire_id.is_some_and(|wire_id| self.in_flight.contains(wire_id))
    }

    fn streams_in_use(&self) -> usize {
        let unwritten_health_checks = self.queue.unwritten_health_checks().count();
        self.in_flight.len() + self.written_health_checks.len() + unwritten_health_checks
    }

    /// Nothing is queued, half written or in flight.
    pub fn is_idle(&self) -> bool {
        self.streams_in_use() == 0 && self.queue.is_empty()
    }

    /// It left an attempt without any response, and nothing has come in on it since.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Unresponsive, with nothing in flight that might still be answered. Only cancellations can be
    /// queued then, and to close the connection cancels as well; a frame that the socket can't
    /// deliver would wait forever.
    pub fn should_close(&self) -> bool {
        self.is_unresponsive && self.in_flight.is_empty()
    }

    /// Queues an attempt.
    pub fn queue_attempt(&mut self, entry: CallEntry, placement: CallPlacement) {
        self.in_flight.insert(&entry);
        self.queue.push_attempt(entry, placement);
    }

    /// Queues a health check.
    pub fn queue_health_check(&mut self, check: HealthCheckId) {
        self.queue.push(OutgoingFrame::HealthCheck(check));
    }

    /// The connection has been established.
    pub fn on_opened(&mut self, now: Nanos) {
        self.phase = LeafConnectionPhase::Open;
        self.last_activity = now;
    }

    /// The next frame for the socket; none while the socket is writing another.
    pub fn next_frame(&mut self, now: Nanos) -> Option<OutgoingFrame> {
        if self.phase != LeafConnectionPhase::Open {
            return None;
        }
        let frame = self.queue.begin_next()?;
        if let OutgoingFrame::Call(call) = frame {
            self.in_flight.on_given(call, now);
        }
        Some(frame.clone())
    }

    /// The socket has taken the last byte of the frame: from now on its parts may be executed.
    pub fn on_frame_written(&mut self) {
        match self.queue.finish() {
            Some(OutgoingFrame::Call(call)) => self.in_flight.on_written(&call),
            Some(OutgoingFrame::HealthCheck(check)) => {
                self.written_health_checks.push_back(Some(check));
            }
            Some(OutgoingFrame::Cancel(_)) | None => {}
        }
    }

    /// Something has come in on the connection: it is responsive.
    pub fn on_activity(&mut self, now: Nanos) {
        self.last_activity = now;
        self.is_unresponsive = false;
    }

    /// Ends the attempt that a response is for.
    pub fn match_response(&mut self, wire_id: &str) -> ResponseMatch {
        self.in_flight.match_response(wire_id)
    }

    /// The attempt that a malformed response is assigned to: the one with its wire id, else the
    /// one that has been in flight for longest.
    pub fn attempt_of_malformed_response(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        self.in_flight.attempt_of_malformed_response(wire_id)
    }

    /// The attempts of which the socket has taken the last byte.
    pub fn written_attempts(&self) -> Vec<AttemptId> {
        let written = self.in_flight.iter().filter(|progress| progress.is_written);
        written.map(|progress| progress.attempt).collect()
    }

    /// The health check that a response is for; none where that was cancelled or never sent.
    pub fn match_health_check_response(&mut self) -> Option<HealthCheckId> {
        self.written_health_checks.pop_front().flatten()
    }

    /// Cancels a health check. A late response to it is not assigned to the next one.
    pub fn cancel_health_check(&mut self, check: HealthCheckId) {
        self.queue.remove_health_check(check);
        let mut written = self.written_health_checks.iter_mut();
        if let Some(place) = written.find(|place| **place == Some(check)) {
            *place = None;
        }
    }

    /// Cancels an attempt. One that is queued is removed and never sent; for one that the socket
    /// was given, a cancellation is queued. True if the attempt may have been executed.
    ///
    /// A connection on which nothing has come in for `response_timeout` since the socket was given
    /// the attempt counts as unresponsive.
    pub fn cancel_attempt(
        &mut self,
        attempt: AttemptId,
        now: Nanos,
        response_timeout: Nanos,
    ) -> bool {
        let Some((wire_id, progress)) = self.in_flight.remove(attempt) else {
            return false;
        };
        if self.queue.remove_attempt(attempt) {
            return false;
        }
        self.in_flight.remember_ended(wire_id.clone());
        self.queue.push(OutgoingFrame::Cancel(wire_id));
        if let Some(given_at) = progress.given_at {
            let no_activity_since = self.last_activity <= given_at;
            let waited = now.saturating_sub(given_at);
            self.is_unresponsive |= no_activity_since && waited >= response_timeout;
        }
        true
    }

    /// Whether an attempt is here and the socket was not given it yet.
    pub fn is_unsent(&self, attempt: AttemptId) -> bool {
        let mut in_flight = self.in_flight.iter();
        in_flight.any(|other| other.attempt == attempt && other.given_at.is_none())
    }

    /// The attempts that the socket was not given yet.
    pub fn unsent_attempts(&self) -> Vec<AttemptId> {
        self.queue.waiting_attempts()
    }

    /// Ends the connection and returns what was in flight.
    pub fn end(self, end: ConnectionEnd) -> LostWork {
        let attempts = self.in_flight.iter().map(|progress| {
            let was_given = end == ConnectionEnd::ClosedByUs && progress.given_at.is_some();
            LostAttempt {
                attempt: progress.attempt,
                may_have_run: progress.is_written || was_given,
            }
        });
        let written_health_checks = self.written_health_checks.iter().flatten().copied();
        LostWork {
            attempts: attempts.collect(),
            health_checks: written_health_checks
                .chain(self.queue.unwritten_health_checks())
                .collect(),
        }
    }
}
