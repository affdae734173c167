//! Graceful shutdowns with client deadlines on both sides of their phases, and clients whose
//! connections take their time to close.

use crate::support::engine_harness::{EngineHarness, MS, SETTINGS, START};
use aggregator_core::engine::Input;

/// The longest deadline that delays a kill, and what comes on top of it, in milliseconds.
const MAX_COUNTED_DEADLINE_MS: u64 = 3000;
const KILL_GRACE_MS: u64 = 700;

const DEADLINES_MS: [u64; 10] = [20, 100, 300, 500, 700, 760, 1500, 3000, 6000, 60_000];

/// A harness whose clients of both classes wait this long.
fn harness_with_deadline(deadline_ms: u64) -> EngineHarness {
    let deadline = format!("give_up_ns={}", deadline_ms * 1_000_000);
    let settings = SETTINGS
        .replace("give_up_ns=5000000000", &deadline)
        .replace("give_up_ns=6000000000", &deadline);
    EngineHarness::with_settings(&settings, 1)
}

/// When a kill may follow SIGTERM at the earliest.
fn earliest_kill_ms(deadline_ms: u64) -> u64 {
    deadline_ms.min(MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS
}

/// The time since the start of the harness, which requests the shutdown at once.
fn elapsed_ms(harness: &EngineHarness) -> u64 {
    (harness.now - START) / MS
}

#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_answered_before_the_exit() {
    for deadline_ms in DEADLINES_MS {
        let mut harness = harness_with_deadline(deadline_ms);
        harness.closes_are_pending = true;
        let client = harness.connect_client();
        harness.apply(Input::ShutdownRequested);
        // The engine has asked for the close; the connection reads one more request before that.
        while harness.closed_clients.is_empty() {
            harness.advance(1);
        }
        assert!(
            !harness.has_exited,
            "deadline {deadline_ms} ms: a client is connected"
        );
        harness.send_query_from(client, 1, &[1.0], deadline_ms);
        harness.advance(earliest_kill_ms(deadline_ms) - elapsed_ms(&harness));
        let replies = &harness.replies[&client];
        assert_eq!(replies.len(), 1, "deadline {deadline_ms} ms");
    }
}
