//! Attempts that were sent: which may have been executed, and how they end.

use crate::sent_parts;
use crate::support::engine_harness::{EngineHarness, SETTINGS};
use aggregator_core::engine::Input;
use aggregator_core::protocol::leaf::{LeafRequest, LeafResponse, PartStatus};
use aggregator_core::protocol::query::QueryReply;

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
