//! Attempts: which are sent, which may have been executed, and how they end.

use crate::support::engine_harness::{address, EngineHarness, MS, SETTINGS, START};
use crate::{frames_of_batch, is_complete, sent_parts, snapshot_of_one};
use aggregator_core::engine::{ConnectionId, Effect, Input};
use aggregator_core::protocol::leaf::{LeafRequest, LeafResponse, PartStatus};
use aggregator_core::protocol::query::QueryReply;

#[test]
fn an_attempt_that_waits_for_a_connection_is_dropped_when_its_replica_drains() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    let connection = harness.first_connection();
    harness.list_replica(1, "draining", 0);
    harness.open_connection(connection);
    harness.advance(3000);
    assert!(
        sent_parts(&harness).is_empty(),
        "its first byte would break the rule"
    );
    assert_eq!(harness.engine.counters().attempts_ended.not_sent, 1);
}

#[test]
fn a_frame_lost_before_its_end_never_ran_and_after_it_may_have() {
    let ended = |harness: &EngineHarness| {
        let ended = &harness.engine.counters().attempts_ended;
        (ended.unreachable, ended.connection_lost)
    };
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    let connection = harness.first_connection();
    harness.lose_connection(connection);
    assert_eq!(ended(&harness), (1, 0));
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.lose_connection(connection);
    assert_eq!(ended(&harness), (0, 1));
}

#[test]
fn an_attempt_that_expired_in_the_queue_is_not_sent_when_the_socket_is_free() {
    let mut harness = EngineHarness::new(1);
    harness.writes_are_stuck = true;
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.now = START + 2100 * MS;
    let frames = frames_of_batch(&mut harness, vec![Input::FrameWritten { connection }]);
    assert_eq!(frames, [], "its time was the latency objective of 2 s");
    assert_eq!(harness.engine.counters().attempts_ended.not_sent, 1);
}

#[test]
fn a_late_response_to_a_cancelled_attempt_is_ignored() {
    let mut harness = EngineHarness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.disconnected.insert(client);
    harness.apply(Input::ClientDisconnected { client });
    let cancel = LeafRequest::Cancel("q1.0".into());
    assert!(harness.frames.iter().any(|sent| sent.frame == cancel));
    harness.respond(connection, "q1.0", PartStatus::Ok);
    assert_eq!(harness.engine.counters().attempts_ended.success, 0);
    assert!(harness.replies[&client].is_empty(), "nobody waits for it");
}

#[test]
fn an_attempt_that_waits_is_not_sent_to_the_former_address_of_its_replica() {
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
        "nothing is left to do on them"
    );
    harness.open_all_connections();
    assert_eq!(sent_parts(&harness).len(), 2, "both at the new address");
}

/// When several inputs come at once, nothing may be written that any of them forbids.
#[test]
fn a_disconnect_and_a_drain_take_precedence_over_a_connection_opened_in_the_same_batch() {
    for (opened_first, cancelling) in [(true, true), (true, false), (false, true), (false, false)] {
        let cancelling = format!("cancelling={cancelling}");
        let settings = SETTINGS.replace("cancelling=true", &cancelling);
        let mut harness = EngineHarness::with_settings(&settings, 1);
        let client = harness.send_query(1, &[0.5, 0.5]);
        let connection = harness.first_connection();
        let mut inputs = vec![
            Input::ClientDisconnected { client },
            Input::ConnectionOpened { connection },
        ];
        if opened_first {
            inputs.reverse();
        }
        assert_eq!(
            frames_of_batch(&mut harness, inputs),
            [],
            "nobody waits for it any more, whether or not cancellation is allowed"
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
    assert_eq!(frames, [], "a replica that the snapshot omits is gone");
}

/// The socket has taken a frame's last byte and has not reported it yet when a malformed response
/// ends the connection.
#[test]
fn a_frame_that_the_socket_was_given_when_we_close_may_have_run() {
    let settings = SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    );
    let mut harness = EngineHarness::with_settings(&settings, 2);
    harness.writes_are_stuck = true;
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let sent = sent_parts(&harness);
    assert_eq!(sent.len(), 1);
    harness.apply(Input::FrameReceived {
        connection: sent[0],
        frame: LeafResponse::Malformed(None),
    });
    harness.open_all_connections();
    harness.advance(6000);
    assert_eq!(
        sent_parts(&harness).len(),
        1,
        "it may have run: it is not retried"
    );
    assert!(
        matches!(harness.last_reply(client), Some(QueryReply::Failed)),
        "and the client is not told that trying again is harmless"
    );
}

/// Duplicates are dropped for a while after a part may first have been executed: a retry that is
/// delayed by its connection would run again.
#[test]
fn a_retry_is_not_sent_on_a_connection_opened_after_its_idempotency_window() {
    let keyed = "classes.1.semantics=idempotency_key\nclasses.1.dedup_window_ns=100000000";
    let settings = SETTINGS.replace("classes.1.semantics=read_like", keyed);
    for (opened_after_ms, sent) in [(60, 2), (150, 1)] {
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
            "the retry waits for its connection"
        );
        harness.advance(opened_after_ms - 30);
        harness.open_all_connections();
        assert_eq!(
            sent_parts(&harness).len(),
            sent,
            "opened after {opened_after_ms} ms"
        );
        harness.advance(200);
        let reply = harness.last_reply(client);
        let failed = matches!(reply, Some(QueryReply::Failed));
        assert_eq!(failed, sent == 1, "{reply:?}");
    }
}

#[test]
fn a_malformed_response_fails_its_attempt_and_cancels_the_others_at_once() {
    for with_id in [true, false] {
        let mut harness = EngineHarness::new(2);
        let client = harness.send_query(1, &[0.25; 4]);
        harness.open_all_connections();
        let busiest = harness.in_flight.iter().max_by_key(|(_, ids)| ids.len());
        let connection = *busiest.unwrap().0;
        let in_flight = harness.in_flight[&connection].len() as u64;
        harness.send_malformed(connection, with_id);
        let ended = harness.engine.counters().attempts_ended.clone();
        assert_eq!(
            (ended.error, ended.cancelled, ended.connection_lost),
            (1, in_flight - 1, 0)
        );
        assert!(
            !harness.connections.contains_key(&connection),
            "where its next frame begins is not known"
        );
        harness.open_all_connections();
        harness.respond_to_all();
        assert!(is_complete(harness.last_reply(client)));
        assert_eq!(harness.now, START, "nothing was waited for");
    }
}

#[test]
fn a_response_to_nothing_in_flight_is_malformed_but_a_duplicate_is_not() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.respond(connection, "q1.1", PartStatus::Ok);
    harness.respond(connection, "q1.1", PartStatus::Ok);
    assert_eq!(harness.engine.counters().connections.malformed, 0);
    harness.respond(connection, "q9.0", PartStatus::Ok);
    assert_eq!(harness.engine.counters().connections.malformed, 1);
    assert_eq!(
        harness.engine.counters().attempts_ended.error,
        1,
        "the one that was in flight has failed"
    );
}

#[test]
fn a_part_queued_behind_a_stuck_frame_is_not_sent_once_its_client_has_disconnected() {
    let mut harness = EngineHarness::new(1);
    harness.writes_are_stuck = true;
    let client = harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    assert_eq!(harness.frames.len(), 1, "the other is in the queue");
    let LeafRequest::Call(stuck) = harness.frames[0].frame.clone() else {
        panic!("no call: {:?}", harness.frames);
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
