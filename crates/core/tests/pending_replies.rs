//! Replies that wait for their usage records, with a usage log whose progress the test controls.

use aggregator_core::engine::usage::{QueryOutcome, QueryUsage, UsageWatermark};
use aggregator_core::engine::ClientId;
use aggregator_core::net::pending_replies::{OutgoingReply, PendingReplies};
use aggregator_core::net::UsageRecorder;
use aggregator_core::protocol::query::QueryReply;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// A usage log whose progress the test controls.
struct ManualRecorder {
    has_capacity: bool,
    written: watch::Sender<u64>,
    unrecorded_replies: Rc<Cell<u32>>,
}

impl UsageRecorder for ManualRecorder {
    fn record(&mut self, _: QueryUsage) -> bool {
        self.has_capacity
    }
    fn record_watermark(&mut self, _: UsageWatermark) {}
    fn written(&self) -> watch::Receiver<u64> {
        self.written.subscribe()
    }
    fn max_reply_delay(&self) -> Duration {
        Duration::from_millis(5)
    }
    fn count_unrecorded_reply(&mut self) {
        self.unrecorded_replies
            .set(self.unrecorded_replies.get() + 1);
    }
    fn close(&mut self) {}
}

fn usage(sequence: u64) -> QueryUsage {
    QueryUsage {
        sequence,
        tenant: 0,
        class: 0,
        arrived_at: 0,
        outcome: QueryOutcome::Complete,
        parts: 1,
        attempts: 1,
        cross_zone_attempts: 0,
        is_retry: false,
        join_key: 2,
        has_client_key: false,
    }
}

fn outgoing(client: ClientId, reply: QueryReply) -> OutgoingReply {
    OutgoingReply {
        client,
        reply,
        close: false,
    }
}

#[tokio::test(start_paused = true)]
async fn replies_wait_for_their_records_in_order_up_to_the_maximum_delay() {
    let unrecorded_replies = Rc::<Cell<u32>>::default();
    let (written, _receiver) = watch::channel(0);
    let mut replies = PendingReplies::new(Box::new(ManualRecorder {
        has_capacity: true,
        written: written.clone(),
        unrecorded_replies: unrecorded_replies.clone(),
    }));
    for sequence in 1..=3 {
        replies.record(usage(sequence));
        assert!(replies
            .hold(outgoing(sequence, QueryReply::Failed))
            .is_none());
    }
    // A reply without a usage record is not held.
    assert!(replies.hold(outgoing(9, QueryReply::Ready(true))).is_some());
    assert!(replies.pop_ready().is_none());
    replies.close_client(2);
    written.send_replace(2);
    replies.wait_for_written().await;
    let next = |replies: &mut PendingReplies| {
        let ready = replies.pop_ready();
        ready.map(|outgoing| (outgoing.client, outgoing.close))
    };
    assert_eq!(next(&mut replies), Some((1, false)));
    assert_eq!(next(&mut replies), Some((2, true)));
    assert!(replies.pop_ready().is_none());
    let began = Instant::now();
    tokio::time::sleep_until(replies.next_deadline().unwrap()).await;
    assert_eq!(replies.pop_ready().map(|outgoing| outgoing.client), Some(3));
    assert_eq!(
        (began.elapsed(), unrecorded_replies.get()),
        (Duration::from_millis(5), 1)
    );
    // The log has stalled, so no reply is held until the log advances.
    replies.record(usage(4));
    assert!(replies.hold(outgoing(4, QueryReply::Failed)).is_some());
    assert_eq!(unrecorded_replies.get(), 2);
    written.send_replace(4);
    replies.record(usage(5));
    assert!(replies.hold(outgoing(5, QueryReply::Failed)).is_none());
}

#[tokio::test]
async fn a_reply_whose_record_is_lost_is_sent_at_once() {
    let (written, _receiver) = watch::channel(0);
    let mut replies = PendingReplies::new(Box::new(ManualRecorder {
        has_capacity: false,
        written,
        unrecorded_replies: Rc::default(),
    }));
    replies.record(usage(1));
    assert!(replies.hold(outgoing(1, QueryReply::Failed)).is_some());
}
