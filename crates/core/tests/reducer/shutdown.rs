//! Graceful shutdown.

use crate::is_complete;
use crate::support::engine_harness::{EngineHarness, SETTINGS};
use aggregator_core::engine::Input;
use aggregator_core::protocol::leaf::LeafRequest;

/// How long new connections keep coming after SIGTERM, in milliseconds.
const NEW_CONNECTIONS_MS: u64 = 400;
/// When the drain period is over, in milliseconds after SIGTERM.
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
        "clients may still come for 0.4 s"
    );
    let late = harness.send_query(1, &[1.0]);
    harness.advance(AFTER_DRAIN_PERIOD_MS - NEW_CONNECTIONS_MS);
    assert!(!harness.is_listening);
    assert_eq!(harness.closed_clients, [idle]);
    assert!(!harness.has_exited, "a query is still open");
    harness.respond_to_all();
    assert!(is_complete(harness.last_reply(late)));
    assert!(harness.has_exited);
}

/// Otherwise a client that sends its next request at once might have it on its way when the
/// connection is closed.
#[test]
fn each_reply_of_a_shutdown_asks_its_client_to_close() {
    let mut harness = EngineHarness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.apply(Input::ShutdownRequested);
    harness.respond_to_all();
    assert!(is_complete(harness.last_reply(client)));
    harness.advance(AFTER_DRAIN_PERIOD_MS);
    assert!(harness.has_exited);
    assert!(harness.closed_clients.is_empty(), "it has closed before");
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

/// What a leaf server computes after the kill is lost.
#[test]
fn a_query_of_the_drain_period_waits_no_longer_than_the_shutdown() {
    // The class's deadline of 6 s counts as 3 s, and 0.15 s are left for a process that is held up.
    const KILL_MS: u64 = 3700;
    const HELD_UP_MS: u64 = 150;
    let objective = "classes.1.aim_ns=6000000000";
    let settings = SETTINGS.replace("classes.1.aim_ns=2000000000", objective);
    let mut harness = EngineHarness::with_settings(&settings, 1);
    harness.apply(Input::ShutdownRequested);
    harness.advance(NEW_CONNECTIONS_MS);
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 6000);
    harness.open_all_connections();
    let LeafRequest::Call(parts) = &harness.frames[0].frame else {
        panic!("no call: {:?}", harness.frames);
    };
    let stated = parts[0].wait_ms;
    assert!(
        stated <= KILL_MS - HELD_UP_MS - NEW_CONNECTIONS_MS,
        "{stated} ms stated"
    );
}
