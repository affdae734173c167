//! Connections to leaf servers: when they are opened, reused and closed.

use crate::sent_parts;
use crate::support::engine_harness::EngineHarness;

#[test]
fn parts_of_one_batch_share_a_connection_and_later_ones_reuse_it() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.send_query(1, &[1.0]);
    let opened = harness.engine.counters().connections.opened;
    assert_eq!((harness.connections.len(), opened), (1, 1));
    assert_eq!(sent_parts(&harness).len(), 3);
}

#[test]
fn a_second_connection_is_opened_beside_a_full_one() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[0.2; 5]);
    assert_eq!(
        harness.connections.len(),
        2,
        "four streams on one connection"
    );
}

#[test]
fn a_connection_that_is_never_established_times_out() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    harness.advance(249);
    assert_eq!(harness.engine.counters().attempts_ended.unreachable, 0);
    harness.advance(2);
    assert!(harness.engine.counters().attempts_ended.unreachable >= 1);
    assert!(sent_parts(&harness).is_empty());
}

#[test]
fn an_unresponsive_connection_gets_nothing_more() {
    let mut harness = EngineHarness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let unresponsive = harness.first_connection();
    // The only replica responds to nothing until the client times out.
    harness.advance(6000);
    assert!(harness.last_reply(client).is_some());
    assert!(
        !harness.connections.contains_key(&unresponsive),
        "closed, since nothing more is in flight on it"
    );
    harness.send_query(1, &[1.0]);
    let mut connections = harness.connections.keys();
    assert!(
        connections.all(|connection| *connection > unresponsive),
        "a new one shows at once whether the replica is there"
    );
}

#[test]
fn a_frame_that_the_socket_never_takes_does_not_keep_its_connection_open() {
    let mut harness = EngineHarness::new(1);
    harness.writes_are_stuck = true;
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let stuck = harness.first_connection();
    harness.advance(6000);
    assert!(
        !harness.connections.contains_key(&stuck),
        "its machine has vanished with the buffer full"
    );
}

#[test]
fn an_idle_connection_is_closed_before_the_leaf_server_closes_it() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.advance(26_000);
    assert_eq!(harness.connections.len(), 1);
    harness.advance(3_000);
    assert!(harness.connections.is_empty());
}
