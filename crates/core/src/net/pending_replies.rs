//! Replies that wait for their usage record: a reply is sent after its record was written, unless
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
    /// The client.
    pub client: ClientId,
    /// The reply.
    pub reply: QueryReply,
    /// The client's connection closes after it.
    pub close: bool,
}

struct PendingReply {
    /// The sequence of its record.
    sequence: u64,
    /// When it is sent even if its record is not written.
    deadline: Instant,
    outgoing: OutgoingReply,
}

/// The usage recorder, and the replies that wait for it in the order of their records.
pub struct PendingReplies {
    recorder: Box<dyn UsageRecorder>,
    /// The sequence up to which records are written, or lost because they could not be.
    written: watch::Receiver<u64>,
    max_delay: Duration,
    pending: VecDeque<PendingReply>,
    /// The sequence of the latest record. The next reply waits for it; a record of a query whose
    /// client has disconnected has no reply of its own.
    latest_record: Option<u64>,
    /// How far the log was when a reply was last sent without its record. Until the log advances,
    /// no reply waits.
    stalled_at: Option<u64>,
    /// Replies are still kept until their records are written.
    holds_replies: bool,
}

impl PendingReplies {
    /// No replies yet, for this recorder.
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

    /// Queues a record; the reply that follows waits for it.
    pub fn record(&mut self, usage: QueryUsage) {
        let sequence = usage.sequence;
        self.latest_record = self.recorder.record(usage).then_some(sequence);
    }

    /// Queues a watermark.
    pub fn record_watermark(&mut self, watermark: UsageWatermark) {
        self.recorder.record_watermark(watermark);
    }

    /// Keeps a reply until its record is written; returns it if there is nothing to wait for.
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

    /// Whether a reply may wait for its record, with the log written so far.
    fn may_wait(&self, written: u64) -> bool {
        self.holds_replies && self.stalled_at != Some(written)
    }

    /// Makes every reply ready at once from now on, also those that are pending. Part of a shutdown
    /// from the answer deadline of `engine/shutdown.rs` on.
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

    /// Marks a client's pending reply, if there is one, as the last on its connection.
    pub fn close_client(&mut self, client: ClientId) {
        for pending in &mut self.pending {
            if pending.outgoing.client == client {
                pending.outgoing.close = true;
            }
        }
    }

    /// When the first pending reply is sent at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.pending.front().map(|pending| pending.deadline)
    }

    /// Returns once records were written that replies wait for; never while none is pending.
    pub async fn wait_for_written(&mut self) {
        if self.pending.is_empty() {
            return std::future::pending().await;
        }
        if self.written.changed().await.is_err() {
            // The writer is gone: there is nothing to wait for.
            self.expire_pending();
        }
    }

    /// Takes the next reply that may be sent: its record is written, or it has waited long enough.
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

    /// Writes what is queued, which may take long: no reply may be waiting any more.
    pub fn close(&mut self) {
        self.recorder.close();
    }
}
