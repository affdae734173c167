//! Connections to leaf servers: when they are opened, reused and closed.

use crate::sent_parts;
use crate::support::engine_harness::{EngineHarness, SETTINGS};
use aggregator_core::protocol::leaf::LeafRequest;

/// Returns the number of parts of each call that was sent, in order.
fn parts_per_call(harness: &EngineHarness) -> Vec<usize> {
    let calls = harness.frames.iter().filter_map(|sent| match &sent.frame {
        LeafRequest::Call(parts) => Some(parts.len()),
        _ => None,
    });
    calls.collect()
}

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
        "expected a second connection for the part beyond the limit of four streams"
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
fn an_unresponsive_connection_gets_no_new_attempt() {
    let mut harness = EngineHarness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let unresponsive = harness.first_connection();
    // The only replica sends no response until the client times out.
    harness.advance(6000);
    assert!(harness.last_reply(client).is_some());
    assert!(
        !harness.connections.contains_key(&unresponsive),
        "expected the connection to be closed, since nothing is in flight on it"
    );
    harness.send_query(1, &[1.0]);
    let mut connections = harness.connections.keys();
    assert!(
        connections.all(|connection| *connection > unresponsive),
        "expected a new connection, which shows at once whether the replica is reachable"
    );
}

#[test]
fn a_connection_is_closed_even_if_its_socket_never_accepts_a_frame() {
    let mut harness = EngineHarness::new(1);
    harness.writes_are_stuck = true;
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let stuck = harness.first_connection();
    harness.advance(6000);
    assert!(
        !harness.connections.contains_key(&stuck),
        "expected the connection to be closed: its peer has vanished with the send buffer full"
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

#[test]
fn a_call_has_no_more_parts_than_the_settings_allow() {
    let settings = format!("{SETTINGS}extra.bundle_max=3\n");
    let mut harness = EngineHarness::with_settings(&settings, 1);
    harness.send_query(1, &[0.25; 4]);
    harness.open_all_connections();
    assert_eq!(parts_per_call(&harness), [3, 1]);
}

#[test]
fn a_part_of_a_later_batch_does_not_join_a_queued_call() {
    let settings = format!("{SETTINGS}extra.bundle_max=3\n");
    let mut harness = EngineHarness::with_settings(&settings, 1);
    harness.send_query(1, &[0.5, 0.5]);
    harness.send_query(1, &[1.0]);
    assert!(
        harness.frames.is_empty(),
        "expected both calls to wait for the connection"
    );
    harness.open_all_connections();
    assert_eq!(parts_per_call(&harness), [2, 1]);
}

/// The remaining descriptors are for clients, the watch and the process itself.
#[test]
fn leaf_connections_use_no_more_than_their_share_of_the_descriptors() {
    const MAX_CONNECTIONS: usize = 409;
    let settings = SETTINGS.replace("open_cap=60", "open_cap=9999");
    let mut harness = EngineHarness::with_settings(&settings, 500);
    let mut peak = 0;
    for _ in 0..600 {
        harness.send_query(1, &[1.0]);
        peak = peak.max(harness.connections.len());
    }
    assert_eq!(
        peak, MAX_CONNECTIONS,
        "expected 40 percent of the 1,024 descriptors"
    );
}
