//! The usage log of the engine: one record for each query that has ended, and watermarks that stay
//! valid.

mod support;

use aggregator_core::engine::usage::{
    client_join_key, content_join_key, is_client_key, QueryOutcome,
};
use aggregator_core::engine::Input;
use aggregator_core::protocol::leaf::PartStatus;
use aggregator_core::protocol::query::{ClientRequest, QueryRequest};
use support::engine_harness::{query, EngineHarness, MS, START};

/// Creates an engine that records usage, with a watermark every 100 ms.
fn recording_harness(replicas: u64) -> EngineHarness {
    let mut harness = EngineHarness::new(replicas);
    harness.engine.record_usage(100 * MS);
    harness
}

/// Sends a query of class `lookup` with two parts. A query with an idempotency key is marked as a
/// retry.
fn send_lookup(harness: &mut EngineHarness, name: &str, timeout_ms: u64, key: Option<&str>) {
    let client = harness.connect_client();
    let query = QueryRequest {
        is_retry: key.is_some(),
        idempotency_key: key.map(str::to_string),
        text: bytes::Bytes::from_static(b"text"),
        ..query(name, 1, &[0.5, 0.5], timeout_ms)
    };
    harness.send_request(client, ClientRequest::Query(query));
}

#[test]
fn each_query_that_ends_has_one_record_with_its_outcome() {
    let mut harness = recording_harness(2);
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    harness.respond_to_all();
    // The client disconnects before the reply.
    let client = harness.send_query(1, &[1.0]);
    harness.apply(Input::ClientDisconnected { client });
    // Rejected before they reach the policy: without time left, and over capacity.
    send_lookup(&mut harness, "late", 1, None);
    let burst: Vec<u64> = (0..30)
        .map(|_| harness.send_query(1, &[0.5, 0.5]))
        .collect();
    let rejected = harness
        .records
        .iter()
        .filter(|record| record.outcome == QueryOutcome::Rejected)
        .count();
    assert_eq!(
        rejected,
        1 + 10,
        "expected one late rejection and 10 over the capacity of 20 queries with two parts each"
    );
    // Failed or rejected when their time has passed. Each of them has a record.
    harness.advance(7000);
    assert_eq!(harness.records.len(), 3 + burst.len());
    let first = &harness.records[0];
    assert_eq!(
        (first.outcome, first.parts, first.attempts, first.arrived_at),
        (QueryOutcome::Complete, 2, 2, START)
    );
    assert_eq!(harness.records[1].outcome, QueryOutcome::ClientDisconnected);
    let sequences: Vec<u64> = harness
        .records
        .iter()
        .map(|record| record.sequence)
        .collect();
    assert_eq!(
        sequences,
        (1..=sequences.len() as u64).collect::<Vec<_>>(),
        "expected sequence numbers without a gap"
    );
    let counters = harness.engine.counters();
    assert_eq!(counters.recorded, sequences.len() as u64);
    assert_eq!(
        counters.recorded_of.values().sum::<u64>(),
        counters.recorded
    );
    assert_eq!(
        counters.recorded_of.keys().collect::<Vec<_>>(),
        ["all lookup"]
    );
}

#[test]
fn the_record_of_a_partial_answer_states_its_coverage() {
    let mut harness = recording_harness(1);
    harness.send_query(0, &[0.7, 0.2, 0.1]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.respond_to_oldest(connection, PartStatus::Ok);
    harness.advance(5000);
    assert_eq!(harness.records.len(), 1);
    assert_eq!(
        harness.records[0].outcome,
        QueryOutcome::Partial(700_000),
        "unexpected outcome in {:?}",
        harness.records[0]
    );
}

/// A query that arrives before a watermark and is read after it counts as arrived at the time of
/// the watermark. An open query delays the watermark.
#[test]
fn the_time_that_a_watermark_declares_complete_stays_complete() {
    let mut harness = recording_harness(1);
    harness.advance(150);
    let early = harness.send_query(1, &[1.0]);
    let arrived = harness.now;
    harness.advance(1000);
    let delayed = harness.watermarks.last().unwrap();
    assert_eq!(
        (delayed.complete_until, delayed.sequence, delayed.is_final),
        (arrived, 0, false),
        "expected the watermark to stop at the arrival of the open query"
    );
    harness.open_all_connections();
    harness.respond_to_all();
    assert!(harness.last_reply(early).is_some());
    harness.advance(200);
    let (complete, now) = (
        harness.watermarks.last().unwrap().complete_until,
        harness.now,
    );
    assert!(complete > arrived && harness.watermarks.last().unwrap().sequence == 1);
    // The query arrived before the watermark, but had to wait for its batch.
    let client = harness.connect_client();
    let delayed_query = query("waited", 1, &[1.0], 5000);
    harness.apply(Input::RequestReceived {
        client,
        arrived_at: now - 190 * MS,
        request: Ok(ClientRequest::Query(delayed_query)),
    });
    harness.open_all_connections();
    harness.respond_to_all();
    assert_eq!(harness.records[1].arrived_at, complete);
    harness.apply(Input::ShutdownRequested);
    harness.advance(7000);
    assert!(
        harness.has_exited && harness.watermarks.last().unwrap().is_final,
        "expected an exit and a final watermark"
    );
}

#[test]
fn the_final_watermark_is_recorded_even_if_a_client_never_closes() {
    let mut harness = recording_harness(1);
    harness.closes_are_pending = true;
    harness.connect_client();
    harness.apply(Input::ShutdownRequested);
    harness.advance(7000);
    assert!(
        harness.has_exited && harness.watermarks.last().unwrap().is_final,
        "expected an exit and a final watermark, without which the settlement waits for records"
    );
}

#[test]
fn nothing_is_recorded_unless_recording_is_enabled() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.advance(1000);
    assert_eq!(
        (
            harness.records.len(),
            harness.watermarks.len(),
            harness.engine.counters().recorded
        ),
        (0, 0, 0)
    );
}

#[test]
fn retries_of_one_logical_request_share_a_join_key_and_others_do_not() {
    let mut harness = recording_harness(1);
    send_lookup(&mut harness, "a", 1, None);
    send_lookup(&mut harness, "b", 1, None);
    send_lookup(&mut harness, "c", 1, Some("k"));
    let keys: Vec<u64> = harness
        .records
        .iter()
        .map(|record| record.join_key)
        .collect();
    let parts = [(1, 0.5), (0, 0.5)];
    assert_eq!(
        keys[0],
        content_join_key("lookup", parts.into_iter(), b"text"),
        "expected the same key for the parts in another order"
    );
    assert_eq!(
        (keys[0], keys[2]),
        (keys[1], client_join_key("lookup", "k"))
    );
    assert!(is_client_key(keys[2]) && !is_client_key(keys[0]) && harness.records[2].has_client_key);
    let others = [
        content_join_key("report", parts.into_iter(), b"text"),
        content_join_key("lookup", parts.into_iter(), b"test"),
        content_join_key("lookup", [(1, 0.5), (2, 0.5)].into_iter(), b"text"),
        client_join_key("lookup", "K"),
    ];
    assert!(others.iter().all(|other| !keys.contains(other)));
}
