//! Attempts that wait for a connection or for a busy socket, and the events that end them unsent.

use crate::support::engine_harness::{address, EngineHarness, MS, SETTINGS, START};
use crate::{frames_of_batch, sent_parts, snapshot_of_one};
use aggregator_core::engine::{ConnectionId, Effect, Input};
use aggregator_core::protocol::leaf::{LeafRequest, PartStatus};
use aggregator_core::protocol::query::QueryReply;

#[test]
fn queued_attempts_are_dropped_when_their_replica_drains() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    let connection = harness.first_connection();
    harness.list_replica(1, "draining", 0);
    harness.open_connection(connection);
    harness.advance(3000);
    assert!(
        sent_parts(&harness).is_empty(),
        "expected nothing to be sent to a draining replica"
    );
    assert_eq!(harness.engine.counters().attempts_ended.not_sent, 1);
}

#[test]
fn queued_attempts_are_not_sent_after_their_timeout() {
    let mut harness = EngineHarness::new(1);
    harness.writes_are_stuck = true;
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.now = START + 2100 * MS;
    let frames = frames_of_batch(&mut harness, vec![Input::FrameWritten { connection }]);
    assert_eq!(
        frames,
        [],
        "expected no frame after the latency objective of 2 s"
    );
    assert_eq!(harness.engine.counters().attempts_ended.not_sent, 1);
}

#[test]
fn queued_attempts_are_not_sent_to_the_former_address_of_their_replica() {
    let mut harness = EngineHarness::new(2);
    harness.send_query(1, &[0.5, 0.5]);
    harness.set_status_of_address("127.0.0.9:7070", "up");
    let former: Vec<ConnectionId> = harness.connections.keys().copied().collect();
    harness.apply(snapshot_of_one(2, "127.0.0.9:7070"));
    harness.set_status_of_address(&address(2), "removed");
    harness.open_all_connections();
    harness.advance(100);
    let sent = sent_parts(&harness);
    assert!(
        sent.iter().all(|connection| !former.contains(connection)),
        "{sent:?}"
    );
    assert!(
        former
            .iter()
            .all(|connection| !harness.connections.contains_key(connection)),
        "expected the connections to the former address to be closed"
    );
    harness.open_all_connections();
    assert_eq!(
        sent_parts(&harness).len(),
        2,
        "expected both parts at the new address"
    );
}

/// A connection opens in the same batch in which its client disconnects or its replica is removed.
/// In either order of these inputs, no frame may be written.
#[test]
fn nothing_is_sent_if_a_disconnect_or_removal_is_in_the_same_batch() {
    for (is_opened_first, may_cancel) in
        [(true, true), (true, false), (false, true), (false, false)]
    {
        let cancelling = format!("cancelling={may_cancel}");
        let settings = SETTINGS.replace("cancelling=true", &cancelling);
        let mut harness = EngineHarness::with_settings(&settings, 1);
        let client = harness.send_query(1, &[0.5, 0.5]);
        let connection = harness.first_connection();
        let mut inputs = vec![
            Input::ClientDisconnected { client },
            Input::ConnectionOpened { connection },
        ];
        if is_opened_first {
            inputs.reverse();
        }
        assert_eq!(
            frames_of_batch(&mut harness, inputs),
            [],
            "expected no frame after the client has disconnected, whether or not cancellation is allowed"
        );
        assert_eq!(harness.engine.counters().attempts_ended.cancelled, 2);
    }
    let mut harness = EngineHarness::new(2);
    harness.send_query(1, &[1.0]);
    let connection = harness.first_connection();
    let used_address = &harness.connections[&connection].address;
    let other = if *used_address == address(1) { 2 } else { 1 };
    let inputs = vec![
        Input::ConnectionOpened { connection },
        snapshot_of_one(other, &address(other)),
    ];
    let frames: Vec<Effect> = frames_of_batch(&mut harness, inputs);
    assert_eq!(
        frames,
        [],
        "expected no frame to a replica that the snapshot omits"
    );
}

/// Leaf servers drop duplicates within a limited time after a part may first have been executed. A
/// retry that is delayed for longer by its connection would be executed again.
#[test]
fn retries_are_not_sent_after_the_idempotency_window() {
    let keyed = "classes.1.semantics=idempotency_key\nclasses.1.dedup_window_ns=100000000";
    let settings = SETTINGS.replace("classes.1.semantics=read_like", keyed);
    for (opened_after_ms, expected_attempts) in [(60, 2), (150, 1)] {
        let mut harness = EngineHarness::with_settings(&settings, 2);
        let client = harness.send_query(1, &[1.0]);
        let first = harness.first_connection();
        harness.open_connection(first);
        harness.advance(10);
        harness.respond_to_oldest(first, PartStatus::Error);
        harness.advance(20);
        assert_eq!(
            harness.connections.len(),
            2,
            "expected the retry to wait for its connection"
        );
        harness.advance(opened_after_ms - 30);
        harness.open_all_connections();
        assert_eq!(
            sent_parts(&harness).len(),
            expected_attempts,
            "connection opened after {opened_after_ms} ms"
        );
        harness.advance(200);
        let reply = harness.last_reply(client);
        let has_failed = matches!(reply, Some(QueryReply::Failed));
        assert_eq!(has_failed, expected_attempts == 1, "{reply:?}");
    }
}

#[test]
fn attempts_queued_behind_a_stuck_frame_are_not_sent_after_a_disconnect() {
    let mut harness = EngineHarness::new(1);
    harness.writes_are_stuck = true;
    let client = harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    assert_eq!(
        harness.frames.len(),
        1,
        "expected the other part to be queued"
    );
    let LeafRequest::Call(stuck) = harness.frames[0].frame.clone() else {
        panic!("expected a call, got {:?}", harness.frames);
    };
    harness.advance(300);
    harness.disconnected.insert(client);
    harness.apply(Input::ClientDisconnected { client });
    let connection = harness.first_connection();
    let inputs = vec![Input::FrameWritten { connection }];
    let written = frames_of_batch(&mut harness, inputs);
    let cancellation = Effect::WriteFrame {
        connection,
        frame: LeafRequest::Cancel(stuck[0].id.clone()),
    };
    assert_eq!(written, [cancellation]);
}
