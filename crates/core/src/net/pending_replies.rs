//! Replies that wait for their usage records. A reply is sent once its record is written, unless
//! the log stalls.

use super::UsageRecorder;
use crate::engine::usage::{QueryUsage, UsageWatermark};
use crate::engine::ClientId;
use crate::protocol::query::QueryReply;
use std::collections::VecDeque;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// A reply on its way to its client.
#[derive(Debug)]
pub struct OutgoingReply {
    /// Client that gets the reply.
    pub client: ClientId,
    /// Reply to the client's open request.
    pub reply: QueryReply,
    /// Whether the client's connection closes after the reply.
    pub close: bool,
}

struct PendingReply {
    /// Sequence of the usage record.
    sequence: u64,
    /// Time at which the reply is sent even if its record is not written.
    deadline: Instant,
    outgoing: OutgoingReply,
}

/// The usage recorder, and the replies that wait for their records, in the order of the records.
pub struct PendingReplies {
    recorder: Box<dyn UsageRecorder>,
    /// Sequence up to which records are written, or lost because writing failed.
    written: watch::Receiver<u64>,
    max_delay: Duration,
    pending: VecDeque<PendingReply>,
    /// Sequence of the latest record, until a reply follows. That reply waits for the record. A
    /// query whose client has disconnected has a record and no reply, so the next reply to any
    /// client waits for that record, unless a later record replaces it.
    latest_record: Option<u64>,
    /// Sequence up to which the log was written when a reply was last sent without its record. No
    /// reply waits until the log advances.
    stalled_at: Option<u64>,
    /// Whether replies are held until their records are written.
    holds_replies: bool,
}

impl PendingReplies {
    /// Creates an empty queue of replies for `recorder`.
    pub fn new(recorder: Box<dyn UsageRecorder>) -> PendingReplies {
        let written = recorder.written();
        let max_delay = recorder.max_reply_delay();
        PendingReplies {
            recorder,
            written,
            max_delay,
            pending: VecDeque::new(),
            latest_record: None,
            stalled_at: None,
            holds_replies: true,
        }
    }

    /// Queues a record. The next reply waits for it, unless the recorder has no capacity.
    pub fn record(&mut self, usage: QueryUsage) {
        let sequence = usage.sequence;
        self.latest_record = self.recorder.record(usage).then_some(sequence);
    }

    /// Passes a watermark to the recorder.
    pub fn record_watermark(&mut self, watermark: UsageWatermark) {
        self.recorder.record_watermark(watermark);
    }

    /// Holds a reply until its record is written. Returns the reply if it can be sent at once.
    pub fn hold(&mut self, outgoing: OutgoingReply) -> Option<OutgoingReply> {
        let written = *self.written.borrow();
        match self.latest_record.take() {
            Some(sequence) if written < sequence && !self.may_wait(written) => {
                self.recorder.count_unrecorded_reply();
                Some(outgoing)
            }
            Some(sequence) if written < sequence => {
                self.pending.push_back(PendingReply {
                    sequence,
                    deadline: Instant::now() + self.max_delay,
                    outgoing,
                });
                None
            }
            _ => Some(outgoing),
        }
    }

    /// Returns whether a reply may wait for its record while the log is written up to the sequence
    /// `written`.
    fn may_wait(&self, written: u64) -> bool {
        self.holds_replies && self.stalled_at != Some(written)
    }

    /// Makes all pending replies, and from now on each new one, ready at once. Called at the answer
    /// deadline of a shutdown (`engine/shutdown.rs`) or later.
    pub fn stop_holding(&mut self) {
        self.holds_replies = false;
        self.expire_pending();
    }

    fn expire_pending(&mut self) {
        let now = Instant::now();
        for pending in &mut self.pending {
            pending.deadline = now;
        }
    }

    /// Marks the pending reply of a client, if any, as the last one on the client's connection.
    pub fn close_client(&mut self, client: ClientId) {
        for pending in &mut self.pending {
            if pending.outgoing.client == client {
                pending.outgoing.close = true;
            }
        }
    }

    /// Returns the latest time at which the first pending reply is sent, or `None` if no reply is
    /// pending.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.pending.front().map(|pending| pending.deadline)
    }

    /// Waits until further records are written. Never returns while no reply is pending.
    pub async fn wait_for_written(&mut self) {
        if self.pending.is_empty() {
            return std::future::pending().await;
        }
        if self.written.changed().await.is_err() {
            // The writer has ended, so no further record will be written.
            self.expire_pending();
        }
    }

    /// Removes and returns the next reply if it may be sent: its record is written, or its deadline
    /// has passed.
    pub fn pop_ready(&mut self) -> Option<OutgoingReply> {
        let front = self.pending.front()?;
        let is_written = *self.written.borrow() >= front.sequence;
        if !is_written && Instant::now() < front.deadline {
            return None;
        }
        if !is_written {
            self.stalled_at = Some(*self.written.borrow());
            self.recorder.count_unrecorded_reply();
        }
        self.pending.pop_front().map(|pending| pending.outgoing)
    }

    /// Writes the queued records and closes the log, which may take long. No reply may be pending
    /// at this point.
    pub fn close(&mut self) {
        self.recorder.close();
    }
}
