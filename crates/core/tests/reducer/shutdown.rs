//! Graceful shutdown of the engine: when clients are accepted, connections are closed and the
//! process exits.

use crate::is_complete;
use crate::support::engine_harness::{EngineHarness, SETTINGS};
use aggregator_core::engine::Input;
use aggregator_core::protocol::leaf::LeafRequest;

/// Time after SIGTERM during which clients open new connections, in milliseconds.
const NEW_CONNECTIONS_MS: u64 = 400;
/// Time after SIGTERM at which the drain period is over, in milliseconds.
const AFTER_DRAIN_PERIOD_MS: u64 = 550;

#[test]
fn a_shutdown_drains_then_closes_idle_clients_and_finishes_open_queries() {
    let mut harness = EngineHarness::new(1);
    let idle = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.apply(Input::ShutdownRequested);
    harness.advance(NEW_CONNECTIONS_MS);
    assert!(
        harness.is_listening && harness.closed_clients.is_empty(),
        "expected new clients to be accepted for 0.4 s"
    );
    let late = harness.send_query(1, &[1.0]);
    harness.advance(AFTER_DRAIN_PERIOD_MS - NEW_CONNECTIONS_MS);
    assert!(!harness.is_listening);
    assert_eq!(harness.closed_clients, [idle]);
    assert!(
        !harness.has_exited,
        "expected no exit while a query is open"
    );
    harness.respond_to_all();
    assert!(is_complete(harness.last_reply(late)));
    assert!(harness.has_exited);
}

/// If a connection stayed open after a reply, the client's next request could be in transit when
/// the connection is closed.
#[test]
fn each_reply_during_a_shutdown_closes_its_connection() {
    let mut harness = EngineHarness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.apply(Input::ShutdownRequested);
    harness.respond_to_all();
    assert!(is_complete(harness.last_reply(client)));
    harness.advance(AFTER_DRAIN_PERIOD_MS);
    assert!(harness.has_exited);
    assert!(
        harness.closed_clients.is_empty(),
        "expected the connection to have ended after the reply"
    );
}

#[test]
fn a_client_accepted_while_the_listener_closes_does_not_delay_the_exit() {
    let mut harness = EngineHarness::new(1);
    harness.apply(Input::ShutdownRequested);
    harness.advance(AFTER_DRAIN_PERIOD_MS);
    assert!(harness.has_exited);
    let mut harness = EngineHarness::new(1);
    let busy = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.apply(Input::ShutdownRequested);
    harness.advance(AFTER_DRAIN_PERIOD_MS);
    let idle = harness.connect_client();
    assert_eq!(harness.closed_clients, [idle]);
    harness.respond_to_all();
    assert!(harness.has_exited && harness.replies[&busy].len() == 1);
}

/// A result that a leaf server returns after the kill is lost.
#[test]
fn the_wait_sent_to_leaf_servers_in_the_drain_period_ends_before_the_kill() {
    // The client deadline of 6 s counts as 3 s, and a process may be suspended for 0.15 s.
    const KILL_MS: u64 = 3700;
    const MAX_SUSPENSION_MS: u64 = 150;
    let objective = "classes.1.aim_ns=6000000000";
    let settings = SETTINGS.replace("classes.1.aim_ns=2000000000", objective);
    let mut harness = EngineHarness::with_settings(&settings, 1);
    harness.apply(Input::ShutdownRequested);
    harness.advance(NEW_CONNECTIONS_MS);
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 6000);
    harness.open_all_connections();
    let LeafRequest::Call(parts) = &harness.frames[0].frame else {
        panic!("expected a call, got {:?}", harness.frames);
    };
    let wait_ms = parts[0].wait_ms;
    assert!(
        wait_ms <= KILL_MS - MAX_SUSPENSION_MS - NEW_CONNECTIONS_MS,
        "expected a wait that ends before the kill, got {wait_ms} ms"
    );
}
