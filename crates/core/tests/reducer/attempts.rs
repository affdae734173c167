//! Sent attempts: which of them may have been executed, and how they end.

use crate::sent_parts;
use crate::support::engine_harness::{EngineHarness, SETTINGS};
use aggregator_core::engine::Input;
use aggregator_core::protocol::leaf::{LeafRequest, LeafResponse, PartStatus};
use aggregator_core::protocol::query::QueryReply;

#[test]
fn an_attempt_may_have_run_only_if_its_frame_was_written() {
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
    assert!(
        harness.replies[&client].is_empty(),
        "expected no reply to a client that has disconnected"
    );
}

/// The socket has accepted the last byte of a frame but has not reported it yet when a malformed
/// response ends the connection.
#[test]
fn an_attempt_may_have_run_if_its_frame_is_being_written_at_the_close() {
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
        "expected no retry of an attempt that may have run"
    );
    assert!(
        matches!(harness.last_reply(client), Some(QueryReply::Failed)),
        "expected a failure rather than a rejection, which would declare a retry harmless"
    );
}
