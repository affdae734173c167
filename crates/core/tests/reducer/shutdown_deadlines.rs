//! Graceful shutdowns with client deadlines shorter and longer than the phases of a shutdown, and
//! with clients whose connections close late.

use crate::support::engine_harness::{EngineHarness, MS, SETTINGS, START};
use aggregator_core::engine::Input;
use aggregator_core::protocol::leaf::PartStatus;
use aggregator_core::protocol::query::QueryReply;

/// Maximum client deadline that delays the kill, in milliseconds.
const MAX_COUNTED_DEADLINE_MS: u64 = 3000;
/// Time from the end of the counted client deadline to the earliest kill, in milliseconds.
const KILL_GRACE_MS: u64 = 700;

/// Time for which a process may be suspended between reading its clock and writing, in
/// milliseconds.
const MAX_SUSPENSION_MS: u64 = 150;
/// Time after SIGTERM during which clients open new connections, in milliseconds.
const NEW_CONNECTIONS_MS: u64 = 400;

/// Latency objective of the queries' class in the harness settings, in milliseconds.
const LATENCY_OBJECTIVE_MS: u64 = 2000;

/// Client deadlines under test, in milliseconds.
const CLIENT_DEADLINES_MS: [u64; 10] = [20, 100, 300, 500, 700, 760, 1500, 3000, 6000, 60_000];

/// Returns settings with this client deadline for both classes.
fn settings_with_deadline(deadline_ms: u64) -> String {
    let deadline = format!("give_up_ns={}", deadline_ms * 1_000_000);
    SETTINGS
        .replace("give_up_ns=5000000000", &deadline)
        .replace("give_up_ns=6000000000", &deadline)
}

/// Returns a harness with this client deadline for both classes.
fn harness_with_deadline(deadline_ms: u64) -> EngineHarness {
    EngineHarness::with_settings(&settings_with_deadline(deadline_ms), 1)
}

/// Returns the time from SIGTERM to the earliest kill.
fn earliest_kill_ms(deadline_ms: u64) -> u64 {
    deadline_ms.min(MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS
}

/// Returns the time since the start of the harness, which is also the time since SIGTERM.
fn elapsed_ms(harness: &EngineHarness) -> u64 {
    (harness.now - START) / MS
}

/// Advances the clock to a time after SIGTERM.
fn advance_to(harness: &mut EngineHarness, at_ms: u64) {
    harness.advance(at_ms - elapsed_ms(harness));
}

#[test]
fn a_request_that_crosses_a_close_is_answered_before_the_exit() {
    for deadline_ms in CLIENT_DEADLINES_MS {
        let mut harness = harness_with_deadline(deadline_ms);
        harness.closes_are_pending = true;
        let client = harness.connect_client();
        harness.apply(Input::ShutdownRequested);
        // The engine has requested the close. The connection reads one more request before it ends.
        while harness.closed_clients.is_empty() {
            harness.advance(1);
        }
        assert!(
            !harness.has_exited,
            "deadline {deadline_ms} ms: expected no exit while a client is connected"
        );
        harness.send_query_from(client, 1, &[1.0], deadline_ms);
        advance_to(&mut harness, earliest_kill_ms(deadline_ms));
        let replies = &harness.replies[&client];
        assert_eq!(
            replies.len(),
            1,
            "deadline {deadline_ms} ms: expected one reply"
        );
    }
}

#[test]
fn a_request_is_answered_before_a_kill_can_follow_whenever_it_arrives() {
    for deadline_ms in CLIENT_DEADLINES_MS {
        for arrived_ms in (0..earliest_kill_ms(deadline_ms)).step_by(50) {
            let mut harness = harness_with_deadline(deadline_ms);
            // The connection stays open even if the engine has closed it.
            harness.closes_are_pending = true;
            let client = harness.connect_client();
            harness.apply(Input::ShutdownRequested);
            advance_to(&mut harness, arrived_ms);
            if harness.has_exited {
                continue;
            }
            harness.send_query_from(client, 1, &[1.0], deadline_ms);
            harness.open_all_connections();
            advance_to(&mut harness, earliest_kill_ms(deadline_ms) - 1);
            let replies = &harness.replies[&client];
            assert_eq!(
                replies.len(),
                1,
                "deadline {deadline_ms} ms, request after {arrived_ms} ms: expected one reply"
            );
            let replied_ms = (replies[0].at - START) / MS;
            let latest_ms = earliest_kill_ms(deadline_ms) - MAX_SUSPENSION_MS;
            assert!(
                replied_ms <= latest_ms.max(arrived_ms),
                "deadline {deadline_ms} ms, request after {arrived_ms} ms: \
                 expected a reply within {latest_ms} ms or at once, got it after {replied_ms} ms"
            );
        }
    }
}

#[test]
fn the_exit_precedes_the_kill_even_if_a_client_never_closes() {
    for deadline_ms in CLIENT_DEADLINES_MS {
        let mut harness = harness_with_deadline(deadline_ms);
        harness.closes_are_pending = true;
        harness.connect_client();
        harness.apply(Input::ShutdownRequested);
        advance_to(&mut harness, earliest_kill_ms(deadline_ms) - 1);
        assert!(
            harness.has_exited,
            "deadline {deadline_ms} ms: expected an exit before the kill"
        );
    }
}

#[test]
fn new_connections_are_accepted_and_served_during_the_drain_period() {
    for deadline_ms in CLIENT_DEADLINES_MS {
        let mut harness = harness_with_deadline(deadline_ms);
        harness.apply(Input::ShutdownRequested);
        advance_to(&mut harness, NEW_CONNECTIONS_MS);
        assert!(
            harness.is_listening,
            "deadline {deadline_ms} ms: expected new clients to be accepted"
        );
        let client = harness.connect_client();
        harness.send_query_from(client, 1, &[1.0], deadline_ms);
        harness.open_all_connections();
        // The response arrives after most of the client's timeout, which must be left for the
        // query.
        let response_delay_ms = deadline_ms.saturating_sub(MAX_SUSPENSION_MS) * 9 / 10;
        harness.advance(response_delay_ms.min(LATENCY_OBJECTIVE_MS * 3 / 4));
        harness.respond_to_all();
        let reply = harness.last_reply(client);
        let is_answered = matches!(reply, Some(QueryReply::Answer { complete: true, .. }));
        let is_too_short = deadline_ms <= MAX_SUSPENSION_MS;
        assert!(
            is_answered || is_too_short && reply.is_some(),
            "deadline {deadline_ms} ms: expected a complete answer, got {reply:?}"
        );
    }
}

#[test]
fn the_exit_waits_for_running_frontends() {
    let mut harness = EngineHarness::new(1);
    harness.apply(Input::FrontendStarted);
    harness.apply(Input::FrontendStarted);
    harness.apply(Input::ShutdownRequested);
    harness.apply(Input::FrontendStopped);
    harness.advance(1000);
    assert!(
        !harness.has_exited,
        "expected no exit while a frontend is running"
    );
    harness.closes_are_pending = true;
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 1000);
    harness.open_all_connections();
    harness.respond_to_all();
    assert_eq!(harness.replies[&client].len(), 1);
    harness.apply(Input::ClientDisconnected { client });
    assert!(
        !harness.has_exited,
        "expected no exit while a frontend is running"
    );
    harness.apply(Input::FrontendStopped);
    assert!(harness.has_exited);
}

#[test]
fn a_query_open_before_the_shutdown_is_answered_in_time_from_its_results() {
    for (has_second_result, expects_partial) in [(false, true), (true, false)] {
        let deadline_ms = 60_000;
        // The latency objective also ends after the kill.
        let settings =
            settings_with_deadline(deadline_ms).replace("aim_ns=2000000000", "aim_ns=20000000000");
        let mut harness = EngineHarness::with_settings(&settings, 1);
        harness.closes_are_pending = true;
        let client = harness.connect_client();
        harness.send_query_from(client, 0, &[0.7, 0.3], deadline_ms);
        harness.open_all_connections();
        let connection = harness.first_connection();
        harness.respond_to_oldest(connection, PartStatus::Ok);
        harness.apply(Input::ShutdownRequested);
        if has_second_result {
            harness.respond_to_oldest(connection, PartStatus::Ok);
        }
        advance_to(
            &mut harness,
            earliest_kill_ms(deadline_ms) - MAX_SUSPENSION_MS,
        );
        let reply = harness.last_reply(client);
        let Some(QueryReply::Answer { complete, hits }) = reply else {
            panic!("expected an answer, got {reply:?}");
        };
        assert_eq!(*complete, !expects_partial);
        assert_eq!(hits.len(), if expects_partial { 1 } else { 2 });
        assert_eq!(harness.engine.counters().faults.reply_deadline, 0);
    }
}
