//! Graceful shutdown.

use crate::is_complete;
use crate::support::engine_harness::{EngineHarness, SETTINGS};
use aggregator_core::engine::Input;
use aggregator_core::protocol::leaf::LeafRequest;

#[test]
fn a_shutdown_drains_then_closes_idle_clients_and_finishes_open_queries() {
    let mut harness = EngineHarness::new(1);
    let idle = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.apply(Input::ShutdownRequested);
    harness.advance(700);
    assert!(
        harness.is_listening && harness.closed_clients.is_empty(),
        "clients may still come for 0.7 s"
    );
    let late = harness.send_query(1, &[1.0]);
    harness.advance(100);
    assert!(!harness.is_listening);
    assert_eq!(harness.closed_clients, [idle]);
    assert!(!harness.has_exited, "a query is still open");
    harness.respond_to_all();
    assert!(is_complete(harness.last_reply(late)));
    assert!(harness.has_exited);
}

#[test]
fn a_shutdown_is_complete_before_a_kill_can_follow() {
    let mut harness = EngineHarness::new(1);
    harness.apply(Input::ShutdownRequested);
    harness.advance(690);
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 6000);
    harness.advance(5400);
    assert_eq!(
        harness.replies[&client].len(),
        1,
        "SIGKILL may come 6.7 s after SIGTERM"
    );
    assert!(harness.has_exited);
}

#[test]
fn a_client_accepted_while_the_listener_closes_does_not_delay_the_exit() {
    let mut harness = EngineHarness::new(1);
    harness.apply(Input::ShutdownRequested);
    harness.advance(800);
    assert!(harness.has_exited);
    let mut harness = EngineHarness::new(1);
    let busy = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.apply(Input::ShutdownRequested);
    harness.advance(800);
    let idle = harness.connect_client();
    assert_eq!(harness.closed_clients, [idle]);
    harness.respond_to_all();
    assert!(harness.has_exited && harness.replies[&busy].len() == 1);
}

/// What a leaf server computes after the kill is lost.
#[test]
fn a_query_that_arrives_in_the_drain_period_waits_no_longer_than_the_shutdown_takes() {
    const ARRIVED_MS: u64 = 690;
    const SHUTDOWN_DEADLINE_MS: u64 = 6000;
    let objective = "classes.1.aim_ns=6000000000";
    let settings = SETTINGS.replace("classes.1.aim_ns=2000000000", objective);
    let mut harness = EngineHarness::with_settings(&settings, 1);
    harness.apply(Input::ShutdownRequested);
    harness.advance(ARRIVED_MS);
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 6000);
    harness.open_all_connections();
    let LeafRequest::Call(parts) = &harness.frames[0].frame else {
        panic!("no call: {:?}", harness.frames);
    };
    let stated = parts[0].wait_ms;
    assert!(
        stated <= SHUTDOWN_DEADLINE_MS - ARRIVED_MS,
        "{stated} ms stated"
    );
}
