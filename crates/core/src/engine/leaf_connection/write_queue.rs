//! The frames that wait for the socket of a connection, and the one that it is writing.

use crate::engine::ids::{AttemptId, HealthCheckId, WireId};
use std::collections::VecDeque;

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

/// Which call an attempt is queued in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPlacement {
    /// A call of its own.
    NewCall,
    /// The last call in the queue, if that holds fewer parts than `max_parts`.
    LastCall {
        /// The most parts of one call.
        max_parts: usize,
    },
}

/// Frames in the order in which they are written. The socket takes one at a time: what is still in
/// the queue can be removed, and the leaf server receives nothing of it.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    /// Frames that wait for the socket, oldest first.
    waiting: VecDeque<OutgoingFrame>,
    /// The frame that the socket was given and has not taken completely.
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

    /// Takes the next frame for the socket; none while the socket is writing another.
    pub(super) fn begin_next(&mut self) -> Option<&OutgoingFrame> {
        if self.writing.is_some() {
            return None;
        }
        self.writing = self.waiting.pop_front();
        self.writing.as_ref()
    }

    /// The socket has taken the last byte of the frame that it was given.
    pub(super) fn finish(&mut self) -> Option<OutgoingFrame> {
        self.writing.take()
    }

    /// Nothing waits or is being written.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_none()
    }

    /// Removes an attempt that waits; whether there was one.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptId) -> bool {
        let mut removed = false;
        self.waiting.retain_mut(|frame| {
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

    /// Removes a health check that waits.
    pub(super) fn remove_health_check(&mut self, check: HealthCheckId) {
        self.waiting
            .retain(|frame| *frame != OutgoingFrame::HealthCheck(check));
    }

    /// The attempts that wait, in the order of their frames.
    pub(super) fn waiting_attempts(&self) -> Vec<AttemptId> {
        let calls = self.waiting.iter().filter_map(|frame| match frame {
            OutgoingFrame::Call(call) => Some(call),
            _ => None,
        });
        calls.flatten().map(|entry| entry.attempt).collect()
    }

    /// The health checks that the socket has not taken completely: those that wait come first.
    pub(super) fn unwritten_health_checks(&self) -> impl Iterator<Item = HealthCheckId> + '_ {
        let unwritten = self.waiting.iter().chain(&self.writing);
        unwritten.filter_map(|frame| match frame {
            OutgoingFrame::HealthCheck(check) => Some(*check),
            _ => None,
        })
    }
}
