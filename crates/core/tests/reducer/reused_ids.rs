//! Wire ids that several attempts have in common: those at one part, and those of queries with the
//! same id. A response must only be taken for the attempt that it was made for.

use crate::support::engine_harness::{query, EngineHarness, SETTINGS};
use crate::{is_complete, sent_parts};
use aggregator_core::engine::{ClientId, Input};
use aggregator_core::protocol::http::RequestError;
use aggregator_core::protocol::leaf::PartStatus;
use aggregator_core::protocol::query::{ClientRequest, QueryReply};

/// Time in milliseconds after which the id of an idempotent query may be used again.
const REUSE_DELAY_MS: u64 = 1000;
/// Unanswered attempts after which a connection is replaced.
const MAX_UNANSWERED: usize = 256;

/// Sends a query of class 1 with one part from a new client.
fn send_named(harness: &mut EngineHarness, name: &str) -> ClientId {
    let client = harness.connect_client();
    let query = query(name, 1, &[1.0], 5000);
    harness.send_request(client, ClientRequest::Query(query));
    harness.open_all_connections();
    client
}

/// Returns settings in which parts of class 1 must not be executed twice.
fn non_idempotent_settings() -> String {
    SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    )
}

/// Returns whether a query was rejected because of its id.
fn is_rejected_for_its_id(reply: Option<&QueryReply>) -> bool {
    matches!(
        reply,
        Some(QueryReply::InvalidRequest(RequestError { status: 409, .. }))
    )
}

/// Guards against a part that runs twice: a second copy of `busy` ended the retry on the same
/// connection as if that had not been executed either.
#[test]
fn a_second_rejection_does_not_end_the_retry() {
    let mut harness = EngineHarness::with_settings(&non_idempotent_settings(), 1);
    let client = send_named(&mut harness, "q");
    let first = harness.first_connection();
    harness.respond(first, "q.0", PartStatus::Busy);
    harness.advance(100);
    harness.open_all_connections();
    assert_eq!(sent_parts(&harness).len(), 2, "expected a retry");
    harness.respond(first, "q.0", PartStatus::Busy);
    harness.advance(4_000);
    harness.open_all_connections();
    assert_eq!(
        sent_parts(&harness).len(),
        2,
        "expected no further attempt while the retry may run"
    );
    assert!(harness.last_reply(client).is_some());
}

/// Guards against a client that is served the values of another one, which had the same id and has
/// disconnected.
#[test]
fn a_late_response_is_not_taken_for_a_later_query_with_the_same_id() {
    let mut harness = EngineHarness::new(1);
    let first_client = send_named(&mut harness, "q");
    let connection = harness.first_connection();
    harness.apply(Input::ClientDisconnected {
        client: first_client,
    });
    harness.advance(REUSE_DELAY_MS);
    let second_client = send_named(&mut harness, "q");
    let sent = sent_parts(&harness);
    assert_ne!(sent[0], sent[1], "expected another connection");
    harness.respond(connection, "q.0", PartStatus::Ok);
    assert_eq!(harness.last_reply(second_client), None);
    harness.respond(sent[1], "q.0", PartStatus::Ok);
    assert!(is_complete(harness.last_reply(second_client)));
}

/// Guards against a connection for each use of an id.
#[test]
fn an_id_is_sent_again_on_a_connection_once_no_response_can_follow() {
    let mut harness = EngineHarness::new(1);
    for _ in 0..10 {
        let client = send_named(&mut harness, "q");
        harness.respond_to_all();
        assert!(is_complete(harness.last_reply(client)));
        harness.advance(REUSE_DELAY_MS);
    }
    assert_eq!(harness.connections.len(), 1);
}

/// Guards against a record of unanswered attempts that grows with each client that disconnects.
#[test]
fn a_connection_with_many_unanswered_attempts_is_replaced() {
    let mut harness = EngineHarness::new(1);
    for number in 0..=MAX_UNANSWERED {
        let client = send_named(&mut harness, &format!("q{number}"));
        harness.apply(Input::ClientDisconnected { client });
    }
    let sent = sent_parts(&harness);
    assert_eq!(sent.len(), MAX_UNANSWERED + 1);
    assert!(sent[..MAX_UNANSWERED]
        .iter()
        .all(|connection| *connection == sent[0]));
    assert_ne!(sent[MAX_UNANSWERED], sent[0]);
    assert!(
        !harness.connections.contains_key(&sent[0]),
        "expected the first connection to be closed, since it is idle"
    );
}

/// Guards against a part that runs twice because its id comes again after its client has
/// disconnected.
#[test]
fn a_non_idempotent_query_is_not_executed_again_under_its_id() {
    let mut harness = EngineHarness::with_settings(&non_idempotent_settings(), 1);
    let first_client = send_named(&mut harness, "q");
    harness.apply(Input::ClientDisconnected {
        client: first_client,
    });
    for wait_ms in [0, REUSE_DELAY_MS, 300_000] {
        harness.advance(wait_ms);
        let client = send_named(&mut harness, "q");
        assert!(is_rejected_for_its_id(harness.last_reply(client)));
    }
    assert_eq!(sent_parts(&harness).len(), 1);
}

/// Guards against a query that is rejected for its id although it was answered and may be executed
/// again, and against one that is accepted too early.
#[test]
fn an_idempotent_query_is_executed_again_after_the_delay() {
    let mut harness = EngineHarness::new(1);
    send_named(&mut harness, "q");
    harness.respond_to_all();
    harness.advance(REUSE_DELAY_MS - 1);
    let early = send_named(&mut harness, "q");
    assert!(is_rejected_for_its_id(harness.last_reply(early)));
    harness.advance(1);
    let late = send_named(&mut harness, "q");
    harness.respond_to_all();
    assert!(is_complete(harness.last_reply(late)));
}

/// Guards against a client that cannot send a query again although no part of it was executed.
#[test]
fn a_query_that_was_not_executed_may_be_sent_again_at_once() {
    let mut harness = EngineHarness::with_settings(&non_idempotent_settings(), 1);
    let first_client = harness.connect_client();
    harness.send_query_from(first_client, 1, &[1.0], 5000);
    harness.apply(Input::ClientDisconnected {
        client: first_client,
    });
    let name = format!("q{first_client}");
    let second_client = send_named(&mut harness, &name);
    harness.respond_to_all();
    assert!(is_complete(harness.last_reply(second_client)));
}

/// Guards against a record of ids that grows with each query.
#[test]
fn the_number_of_recorded_ids_is_limited() {
    const MAX_IDS: usize = 16 * 1024;
    /// Entries of the other tables, whose number does not depend on the number of queries.
    const MAX_OTHER_ENTRIES: usize = 1000;
    let mut harness = EngineHarness::with_settings(&non_idempotent_settings(), 1);
    let before = harness.engine.retained_entries();
    for number in 0..MAX_IDS + 100 {
        let client = send_named(&mut harness, &format!("q{number}"));
        harness.respond_to_all();
        harness.apply(Input::ClientDisconnected { client });
        harness.advance(10);
    }
    harness.advance(10_000);
    let recorded = harness.engine.retained_entries() - before;
    assert!(
        (MAX_IDS..=MAX_IDS + MAX_OTHER_ENTRIES).contains(&recorded),
        "expected {MAX_IDS} ids and at most {MAX_OTHER_ENTRIES} other entries, got {recorded}"
    );
}
