//! The state machine of one connection to a leaf server.
//!
//! It holds the frames that wait to be written and the attempts that are in flight, and says what
//! may be written next. It never touches a socket: the engine hands it what the socket reports.
//!
//! Invariants: the socket has at most one frame at a time, and each attempt that is queued leaves
//! the connection exactly once, by its response, by [`LeafConnection::cancel_attempt`] or by
//! [`LeafConnection::end`].

use crate::api::{Nanos, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The most ids kept of attempts that have ended, to tell a late response from an unknown one. A
/// leaf server has fewer responses under way.
const MAX_ENDED_IDS: usize = 64;

/// The id that stands for a part in the frames to and from a leaf server.
pub type WireId = Rc<str>;

/// The identifier of a health check; it is never used again.
pub type HealthCheckId = u64;

/// The identifier of one attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part that is attempted.
    pub part: RequestId,
    /// The number of the attempt, from 0 in the order sent.
    pub number: u8,
}

/// An attempt as one entry of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallEntry {
    /// The attempt.
    pub attempt: AttemptId,
    /// The id of its part on the wire.
    pub wire_id: WireId,
}

/// What is written as one frame.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingFrame {
    /// Execute these parts.
    Call(Vec<CallEntry>),
    /// Stop executing a part.
    Cancel(WireId),
    /// Answer a health check.
    HealthCheck(HealthCheckId),
}

/// Whether a connection has been established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafConnectionPhase {
    /// Not yet.
    Connecting,
    /// It has.
    Open,
}

/// What the wire id of a response stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// An attempt that was in flight and has ended with this response.
    Attempt(AttemptId),
    /// An attempt that has ended before: the response is a duplicate, or it crossed our
    /// cancellation.
    AlreadyEnded,
    /// Nothing that was ever written to this connection: the response is malformed.
    Unknown,
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

/// An attempt that is queued, being written or in flight.
#[derive(Clone, Debug)]
struct InFlight {
    attempt: AttemptId,
    /// When the socket was given its frame.
    given_at: Option<Nanos>,
    /// The socket has taken the last byte of its frame.
    written: bool,
}

/// The state of one connection to a leaf server.
#[derive(Debug)]
pub struct LeafConnection {
    phase: LeafConnectionPhase,
    /// Frames that wait for the socket, oldest first.
    queue: VecDeque<OutgoingFrame>,
    /// The frame that the socket was given and has not taken completely.
    writing: Option<OutgoingFrame>,
    in_flight: BTreeMap<WireId, InFlight>,
    /// Health checks that were written, in order. Responses carry no id, so one that is cancelled
    /// keeps its place as `None`.
    health_checks: VecDeque<Option<HealthCheckId>>,
    /// Wire ids that were written here and have ended, latest last.
    ended_ids: VecDeque<WireId>,
    last_activity: Nanos,
    /// It left an attempt without any response: nothing new goes out on it until something comes
    /// in on it.
    unresponsive: bool,
    /// Since when nothing has been queued or in flight.
    pub(super) idle_since: Nanos,
    /// When the timer that checks for idleness is due. There is one at a time, however often the
    /// connection becomes idle.
    pub(super) idle_timer: Option<Nanos>,
}

impl LeafConnection {
    /// A connection that is being established.
    pub fn new(now: Nanos) -> LeafConnection {
        LeafConnection {
            phase: LeafConnectionPhase::Connecting,
            queue: VecDeque::new(),
            writing: None,
            in_flight: BTreeMap::new(),
            health_checks: VecDeque::new(),
            ended_ids: VecDeque::new(),
            last_activity: now,
            unresponsive: false,
            idle_since: now,
            idle_timer: None,
        }
    }

    /// Whether the connection has been established.
    pub fn phase(&self) -> LeafConnectionPhase {
        self.phase
    }

    /// Whether one more attempt with this wire id may go out on it. Two attempts with one id can't
    /// be told apart.
    pub fn has_capacity(&self, max_streams: usize, wire_id: &str) -> bool {
        !self.unresponsive
            && self.streams_in_use() < max_streams
            && !self.in_flight.contains_key(wire_id)
    }

    fn streams_in_use(&self) -> usize {
        let unwritten_health_checks = self.unwritten_health_checks().count();
        self.in_flight.len() + self.health_checks.len() + unwritten_health_checks
    }

    fn unwritten_health_checks(&self) -> impl Iterator<Item = HealthCheckId> + '_ {
        let unwritten = self.queue.iter().chain(&self.writing);
        unwritten.filter_map(|frame| match frame {
            OutgoingFrame::HealthCheck(check) => Some(*check),
            _ => None,
        })
    }

    /// Nothing is queued, half written or in flight.
    pub fn is_idle(&self) -> bool {
        self.streams_in_use() == 0 && self.queue.is_empty() && self.writing.is_none()
    }

    /// It left an attempt without any response, and nothing has come in on it since.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Unresponsive, with nothing in flight that might still be answered. What is queued are
    /// cancellations, which the end of the connection expresses as well; a frame that the socket
    /// can't deliver would wait forever.
    pub fn should_close(&self) -> bool {
        self.unresponsive && self.in_flight.is_empty()
    }

    /// Queues an attempt. With `join` it is added to the last call in the queue, if that holds
    /// fewer than `max_parts_per_call`.
    pub fn queue_attempt(&mut self, entry: CallEntry, join: bool, max_parts_per_call: usize) {
        let in_flight = InFlight {
            attempt: entry.attempt,
            given_at: None,
            written: false,
        };
        self.in_flight.insert(entry.wire_id.clone(), in_flight);
        match self.queue.back_mut() {
            Some(OutgoingFrame::Call(call)) if join && call.len() < max_parts_per_call => {
                call.push(entry)
            }
            _ => self.queue.push_back(OutgoingFrame::Call(vec![entry])),
        }
    }

    /// Queues a health check.
    pub fn queue_health_check(&mut self, check: HealthCheckId) {
        self.queue.push_back(OutgoingFrame::HealthCheck(check));
    }

    /// The connection has been established.
    pub fn on_opened(&mut self, now: Nanos) {
        self.phase = LeafConnectionPhase::Open;
        self.last_activity = now;
    }

    /// The next frame for the socket, which takes one at a time: what stays in the queue can still
    /// be cancelled without a trace.
    pub fn next_frame(&mut self, now: Nanos) -> Option<OutgoingFrame> {
        if self.phase != LeafConnectionPhase::Open || self.writing.is_some() {
            return None;
        }
        self.writing = self.queue.pop_front();
        self.update_attempts_being_written(|in_flight| in_flight.given_at = Some(now));
        self.writing.clone()
    }

    fn update_attempts_being_written(&mut self, update: impl Fn(&mut InFlight)) {
        let Some(OutgoingFrame::Call(call)) = &self.writing else {
            return;
        };
        for entry in call {
            // A cancelled attempt's id may have been taken by a later attempt.
            let in_flight = self.in_flight.get_mut(&entry.wire_id);
            if let Some(in_flight) = in_flight.filter(|other| other.attempt == entry.attempt) {
                update(in_flight);
            }
        }
    }

    /// The socket has taken the last byte of the frame: from now on its parts may be executed.
    pub fn on_frame_written(&mut self) {
        self.update_attempts_being_written(|in_flight| in_flight.written = true);
        if let Some(OutgoingFrame::HealthCheck(check)) = self.writing.take() {
            self.health_checks.push_back(Some(check));
        }
    }

    /// Something has come in on the connection: it is responsive.
    pub fn on_activity(&mut self, now: Nanos) {
        self.last_activity = now;
        self.unresponsive = false;
    }

    /// Ends the attempt that a response is for. What has not been written yet can't have been
    /// answered: that is the response to an earlier attempt with the same id.
    pub fn match_response(&mut self, wire_id: &str) -> ResponseMatch {
        let entry = self.in_flight.get_key_value(wire_id);
        match entry.filter(|(_, in_flight)| in_flight.written) {
            Some((wire_id, in_flight)) => {
                let (wire_id, attempt) = (wire_id.clone(), in_flight.attempt);
                self.in_flight.remove(&wire_id);
                self.remember_ended(wire_id);
                ResponseMatch::Attempt(attempt)
            }
            None if self.ended_ids.iter().any(|ended| **ended == *wire_id) => {
                ResponseMatch::AlreadyEnded
            }
            None => ResponseMatch::Unknown,
        }
    }

    fn remember_ended(&mut self, wire_id: WireId) {
        if self.ended_ids.len() == MAX_ENDED_IDS {
            self.ended_ids.pop_front();
        }
        self.ended_ids.push_back(wire_id);
    }

    /// The attempt that a malformed response is taken to answer: the one it names, else the one
    /// that has been in flight for longest.
    pub fn attempt_of_malformed_response(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        let written = |in_flight: &&InFlight| in_flight.written;
        let named = wire_id
            .and_then(|wire_id| self.in_flight.get(wire_id))
            .filter(written);
        let oldest = || {
            let candidates = self.in_flight.values().filter(written);
            candidates.min_by_key(|in_flight| (in_flight.given_at, in_flight.attempt))
        };
        named.or_else(oldest).map(|in_flight| in_flight.attempt)
    }

    /// The attempts of which the socket has taken the last byte.
    pub fn written_attempts(&self) -> Vec<AttemptId> {
        let in_flight = self.in_flight.values();
        let written = in_flight.filter(|in_flight| in_flight.written);
        written.map(|in_flight| in_flight.attempt).collect()
    }

    /// The health check that a response is for; none where that was cancelled or never sent.
    pub fn match_health_check_response(&mut self) -> Option<HealthCheckId> {
        self.health_checks.pop_front().flatten()
    }

    /// Cancels a health check. Its response, should it come, is not taken for the next one's.
    pub fn cancel_health_check(&mut self, check: HealthCheckId) {
        self.queue
            .retain(|frame| *frame != OutgoingFrame::HealthCheck(check));
        let mut written = self.health_checks.iter_mut();
        if let Some(place) = written.find(|place| **place == Some(check)) {
            *place = None;
        }
    }

    /// Cancels an attempt. What is queued is removed and never goes out; what the socket was given
    /// is followed by a cancellation. True if the attempt may have been executed. A connection on
    /// which nothing has come in for `response_timeout` since the socket was given the attempt
    /// counts as unresponsive.
    pub fn cancel_attempt(
        &mut self,
        attempt: AttemptId,
        now: Nanos,
        response_timeout: Nanos,
    ) -> bool {
        let Some(wire_id) = self.wire_id_of(attempt) else {
            return false;
        };
        let Some(in_flight) = self.in_flight.remove(&wire_id) else {
            return false;
        };
        if self.remove_from_queue(attempt) {
            return false;
        }
        self.remember_ended(wire_id.clone());
        self.queue.push_back(OutgoingFrame::Cancel(wire_id));
        if let Some(given_at) = in_flight.given_at {
            let no_activity_since = self.last_activity <= given_at;
            let waited = now.saturating_sub(given_at);
            self.unresponsive |= no_activity_since && waited >= response_timeout;
        }
        true
    }

    /// Removes an attempt from the calls in the queue; whether it was in one.
    fn remove_from_queue(&mut self, attempt: AttemptId) -> bool {
        let mut removed = false;
        self.queue.retain_mut(|frame| {
            let OutgoingFrame::Call(call) = frame else {
                return true;
            };
            let entries_before = call.len();
            call.retain(|entry| entry.attempt != attempt);
            removed |= call.len() < entries_before;
            !call.is_empty()
        });
        removed
    }

    fn wire_id_of(&self, attempt: AttemptId) -> Option<WireId> {
        let mut entries = self.in_flight.iter();
        let entry = entries.find(|(_, in_flight)| in_flight.attempt == attempt);
        entry.map(|(wire_id, _)| wire_id.clone())
    }

    /// Whether an attempt is here and the socket was not given it yet.
    pub fn is_unsent(&self, attempt: AttemptId) -> bool {
        let mut in_flight = self.in_flight.values();
        in_flight.any(|other| other.attempt == attempt && other.given_at.is_none())
    }

    /// The attempts that the socket was not given yet.
    pub fn unsent_attempts(&self) -> Vec<AttemptId> {
        let calls = self.queue.iter().filter_map(|frame| match frame {
            OutgoingFrame::Call(call) => Some(call),
            _ => None,
        });
        calls.flatten().map(|entry| entry.attempt).collect()
    }

    /// Ends the connection and returns what was in flight. Where the socket reported the end, it
    /// has reported every frame that it took completely before; where we close the connection
    /// (`closed_by_us`), such a report may still be on its way.
    pub fn end(self, closed_by_us: bool) -> LostWork {
        let in_flight = self.in_flight.values();
        let attempts = in_flight.map(|in_flight| LostAttempt {
            attempt: in_flight.attempt,
            may_have_run: in_flight.written || closed_by_us && in_flight.given_at.is_some(),
        });
        let written_health_checks = self.health_checks.iter().flatten().copied();
        LostWork {
            attempts: attempts.collect(),
            health_checks: written_health_checks
                .chain(self.unwritten_health_checks())
                .collect(),
        }
    }
}
