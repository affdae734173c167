//! The frames of a connection that wait for the socket, and the frame that the socket is writing.

use crate::engine::ids::{AttemptId, HealthCheckId, WireId};
use std::collections::VecDeque;

/// An attempt as one entry of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallEntry {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Identifier of the attempted part in frames.
    pub wire_id: WireId,
}

/// A frame to a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingFrame {
    /// Requests the execution of these parts.
    Call(Vec<CallEntry>),
    /// Cancels the execution of a part.
    Cancel(WireId),
    /// Requests the response to a health check.
    HealthCheck(HealthCheckId),
}

/// The call to which a queued attempt is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPlacement {
    /// A new call.
    NewCall,
    /// The last call in the queue, if it has fewer than `max_parts` parts; a new call otherwise.
    LastCall {
        /// Maximum number of parts in one call.
        max_parts: usize,
    },
}

/// Frames in the order in which they are written. The socket writes one frame at a time. A frame
/// that is still queued can be removed, in which case the leaf server receives nothing of it.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    /// Frames that wait for the socket, oldest first.
    waiting: VecDeque<OutgoingFrame>,
    /// Frame that was passed to the socket and that the socket has not accepted completely.
    writing: Option<OutgoingFrame>,
}

impl WriteQueue {
    pub(super) fn push(&mut self, frame: OutgoingFrame) {
        self.waiting.push_back(frame);
    }

    pub(super) fn push_attempt(&mut self, entry: CallEntry, placement: CallPlacement) {
        let max_parts = match placement {
            CallPlacement::NewCall => 0,
            CallPlacement::LastCall { max_parts } => max_parts,
        };
        match self.waiting.back_mut() {
            Some(OutgoingFrame::Call(call)) if call.len() < max_parts => call.push(entry),
            _ => self.push(OutgoingFrame::Call(vec![entry])),
        }
    }

    /// Takes the next frame for the socket. Returns `None` if the queue is empty or the socket is
    /// writing another frame.
    pub(super) fn begin_next(&mut self) -> Option<&OutgoingFrame> {
        if self.writing.is_some() {
            return None;
        }
        self.writing = self.waiting.pop_front();
        self.writing.as_ref()
    }

    /// Removes and returns the frame that the socket was writing and has now accepted completely.
    pub(super) fn finish(&mut self) -> Option<OutgoingFrame> {
        self.writing.take()
    }

    /// Returns whether no frame is queued or being written.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_none()
    }

    /// Removes a queued attempt. Returns whether the attempt was queued.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptId) -> bool {
        let mut was_queued = false;
        self.waiting.retain_mut(|frame| {
            let OutgoingFrame::Call(call) = frame else {
                return true;
            };
            let entries_before = call.len();
            call.retain(|entry| entry.attempt != attempt);
            was_queued |= call.len() < entries_before;
            !call.is_empty()
        });
        was_queued
    }

    /// Removes a queued health check.
    pub(super) fn remove_health_check(&mut self, check: HealthCheckId) {
        self.waiting
            .retain(|frame| *frame != OutgoingFrame::HealthCheck(check));
    }

    /// Returns the queued attempts, in the order of their frames.
    pub(super) fn waiting_attempts(&self) -> Vec<AttemptId> {
        let calls = self.waiting.iter().filter_map(|frame| match frame {
            OutgoingFrame::Call(call) => Some(call),
            _ => None,
        });
        calls.flatten().map(|entry| entry.attempt).collect()
    }

    /// Returns the health checks that the socket has not accepted completely: first those that are
    /// queued, then the one that is being written.
    pub(super) fn unwritten_health_checks(&self) -> impl Iterator<Item = HealthCheckId> + '_ {
        let unwritten = self.waiting.iter().chain(&self.writing);
        unwritten.filter_map(|frame| match frame {
            OutgoingFrame::HealthCheck(check) => Some(*check),
            _ => None,
        })
    }
}
