//! Responses that cannot be decoded, and responses that match no attempt in flight.

use crate::is_complete;
use crate::support::engine_harness::{EngineHarness, START};
use aggregator_core::protocol::leaf::PartStatus;

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
            "expected the connection to be closed, since the start of its next frame is unknown"
        );
        harness.open_all_connections();
        harness.respond_to_all();
        assert!(is_complete(harness.last_reply(client)));
        assert_eq!(
            harness.now, START,
            "expected a complete answer without any delay"
        );
    }
}

#[test]
fn a_response_with_an_unknown_id_is_malformed_but_a_duplicate_is_not() {
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
        "expected the attempt in flight to fail"
    );
}
