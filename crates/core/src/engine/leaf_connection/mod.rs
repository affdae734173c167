//! The state machine of one connection to a leaf server.
//!
//! It holds the frames that wait to be written and the attempts in flight, and decides which frame
//! is written next. It has no socket: the engine calls it for each event that the socket reports.
//!
//! Invariants:
//!
//! - The socket writes at most one frame at a time.
//! - Each attempt that is queued leaves the connection exactly once, through its response,
//!   [`LeafConnection::cancel_attempt`] or [`LeafConnection::end`].
//! - A response ends only the attempt that it was made for: a wire id is not sent again while a
//!   response to an earlier attempt may still arrive (`ended_ids.rs`). This requires that callers
//!   queue an attempt only if [`LeafConnection::has_capacity`] returns `true` for its wire id.

mod ended_ids;
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
    /// The connection is being established.
    Connecting,
    /// The connection has been established.
    Open,
}

/// Which side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The socket has reported the end. Before that, it has reported every frame that it accepted
    /// completely.
    ReportedBySocket,
    /// The engine closes the connection. The socket may have accepted a frame completely without
    /// having reported it yet.
    ClosedByEngine,
}

/// An attempt that was queued or in flight when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LostAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Whether the leaf server may have executed the attempt.
    pub may_have_run: bool,
}

/// Attempts and health checks that were queued or in flight when a connection ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LostWork {
    /// Attempts, in the order of their wire ids.
    pub attempts: Vec<LostAttempt>,
    /// Health checks, beginning with those already written.
    pub health_checks: Vec<HealthCheckId>,
}

/// The state of one connection to a leaf server.
#[derive(Debug)]
pub struct LeafConnection {
    phase: LeafConnectionPhase,
    queue: WriteQueue,
    in_flight: InFlightAttempts,
    /// Health checks that were written, in order. Responses to health checks carry no id, so a
    /// cancelled one keeps its place as `None`.
    written_health_checks: VecDeque<Option<HealthCheckId>>,
    last_activity: Nanos,
    /// Whether an attempt ended without any response and nothing has been received since.
    is_unresponsive: bool,
}

impl LeafConnection {
    /// Creates a connection that is being established.
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

    /// Returns whether the connection has been established.
    pub fn phase(&self) -> LeafConnectionPhase {
        self.phase
    }

    /// Returns whether one more attempt with this wire id, or a health check without one, may be
    /// sent. Two attempts with the same wire id cannot be distinguished, and nothing new is sent
    /// while the connection is unresponsive.
    pub fn has_capacity(&self, max_streams: usize, wire_id: Option<&str>, now: Nanos) -> bool {
        !self.is_unresponsive
            && self.streams_in_use() < max_streams
            && wire_id.is_none_or(|wire_id| self.in_flight.may_add(wire_id, now))
    }

    /// Returns whether no further attempt may be sent, whatever its wire id is, because too many
    /// earlier ones were not answered. Such a connection is closed once it is idle.
    pub fn is_worn_out(&self) -> bool {
        self.in_flight.is_worn_out()
    }

    fn streams_in_use(&self) -> usize {
        let unwritten_health_checks = self.queue.unwritten_health_checks().count();
        self.in_flight.len() + self.written_health_checks.len() + unwritten_health_checks
    }

    /// Returns whether no frame is queued or being written and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.streams_in_use() == 0 && self.queue.is_empty()
    }

    /// Returns whether an attempt ended without any response and nothing has been received since.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Returns whether the connection is unresponsive and no attempt is in flight on it. Such a
    /// connection is closed even if frames are queued: closing it also cancels attempts at the leaf
    /// server, and a frame that the socket cannot deliver would keep it open forever.
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

    /// Marks the connection as established.
    pub fn on_opened(&mut self, now: Nanos) {
        self.phase = LeafConnectionPhase::Open;
        self.last_activity = now;
    }

    /// Returns the next frame for the socket, or `None` if the connection is not established,
    /// nothing is queued or the socket is writing another frame.
    pub fn next_frame(&mut self, now: Nanos) -> Option<OutgoingFrame> {
        if self.phase != LeafConnectionPhase::Open {
            return None;
        }
        let frame = self.queue.begin_next()?;
        if let OutgoingFrame::Call(call) = frame {
            self.in_flight.on_write_started(call, now);
        }
        Some(frame.clone())
    }

    /// Handles the report that the socket has accepted the last byte of the frame that it was
    /// writing. From now on, the parts of that frame may be executed.
    pub fn on_frame_written(&mut self) {
        match self.queue.finish() {
            Some(OutgoingFrame::Call(call)) => self.in_flight.on_written(&call),
            Some(OutgoingFrame::HealthCheck(check)) => {
                self.written_health_checks.push_back(Some(check));
            }
            Some(OutgoingFrame::Cancel(_)) | None => {}
        }
    }

    /// Marks the connection as responsive because a frame was received on it.
    pub fn on_activity(&mut self, now: Nanos) {
        self.last_activity = now;
        self.is_unresponsive = false;
    }

    /// Ends the attempt that a response refers to. The response must have been reported by
    /// [`LeafConnection::on_activity`] before.
    pub fn match_response(&mut self, wire_id: &str) -> ResponseMatch {
        self.in_flight.match_response(wire_id, self.last_activity)
    }

    /// Returns the attempt that a malformed response is attributed to: the attempt with its wire
    /// id, or else the one that has been in flight for longest.
    pub fn attempt_of_malformed_response(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        self.in_flight.attempt_of_malformed_response(wire_id)
    }

    /// Returns the attempts in flight whose frames the socket has accepted completely.
    pub fn written_attempts(&self) -> Vec<AttemptId> {
        let written = self.in_flight.iter().filter(|progress| progress.is_written);
        written.map(|progress| progress.attempt).collect()
    }

    /// Returns the health check that a response belongs to, or `None` if that check was cancelled
    /// or no check was sent.
    pub fn match_health_check_response(&mut self) -> Option<HealthCheckId> {
        self.written_health_checks.pop_front().flatten()
    }

    /// Cancels a health check. A late response to it is not attributed to the next health check.
    pub fn cancel_health_check(&mut self, check: HealthCheckId) {
        self.queue.remove_health_check(check);
        let mut written = self.written_health_checks.iter_mut();
        if let Some(place) = written.find(|place| **place == Some(check)) {
            *place = None;
        }
    }

    /// Cancels an attempt and returns whether it may have been executed. A queued attempt is
    /// removed and never sent. If its frame has been passed to the socket, a cancellation is
    /// queued.
    ///
    /// The connection becomes unresponsive if nothing has been received on it since the frame was
    /// passed to the socket and that was at least `response_timeout` ago.
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
        self.in_flight.on_ended_without_response(wire_id.clone());
        self.queue.push(OutgoingFrame::Cancel(wire_id));
        if let Some(write_started_at) = progress.write_started_at {
            let no_activity_since = self.last_activity <= write_started_at;
            let waited = now.saturating_sub(write_started_at);
            self.is_unresponsive |= no_activity_since && waited >= response_timeout;
        }
        true
    }

    /// Returns whether an attempt is queued here and its frame has not been passed to the socket.
    pub fn is_unsent(&self, attempt: AttemptId) -> bool {
        let mut in_flight = self.in_flight.iter();
        in_flight.any(|other| other.attempt == attempt && other.write_started_at.is_none())
    }

    /// Returns the attempts whose frames have not been passed to the socket.
    pub fn unsent_attempts(&self) -> Vec<AttemptId> {
        self.queue.waiting_attempts()
    }

    /// Ends the connection and returns what was queued or in flight.
    pub fn end(self, end: ConnectionEnd) -> LostWork {
        let attempts = self.in_flight.iter().map(|progress| {
            let may_be_written =
                end == ConnectionEnd::ClosedByEngine && progress.write_started_at.is_some();
            LostAttempt {
                attempt: progress.attempt,
                may_have_run: progress.is_written || may_be_written,
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
