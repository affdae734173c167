//! Admission, answers and end of queries.

use crate::support::engine_harness::{query, EngineHarness, MS, SETTINGS, START};
use crate::{is_rejected, sent_parts};
use aggregator_core::engine::{ClientId, ConnectionId, Input};
use aggregator_core::protocol::http::RequestError;
use aggregator_core::protocol::leaf::PartStatus;
use aggregator_core::protocol::query::{ClientRequest, QueryReply};

#[test]
fn a_complete_answer_contains_the_unchanged_values_of_all_parts() {
    let mut harness = EngineHarness::new(2);
    let client = harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    harness.respond_to_all();
    let Some(QueryReply::Answer {
        complete: true,
        hits,
    }) = harness.last_reply(client)
    else {
        panic!(
            "expected a complete answer, got {:?}",
            harness.last_reply(client)
        )
    };
    assert_eq!(hits[1].doc, "doc q1.1");
    assert_eq!(hits.len(), 2);
}

#[test]
fn an_answered_query_sends_nothing_more() {
    let settings = SETTINGS.replace("cancelling=true", "cancelling=false");
    let mut harness = EngineHarness::with_settings(&settings, 3);
    let client = harness.send_query(0, &[0.7, 0.3]);
    let connections: Vec<ConnectionId> = harness.connections.keys().copied().collect();
    assert_eq!(
        connections.len(),
        2,
        "expected a separate replica for each part"
    );
    let has_no_frame = |connection: &&ConnectionId| {
        let mut frames = harness.frames.iter();
        frames.all(|sent| sent.connection != **connection)
    };
    let opened = *connections.iter().find(has_no_frame).unwrap();
    harness.open_connection(opened);
    harness.respond_to_all();
    harness.advance(10_000);
    assert!(harness.last_reply(client).is_some());
    let sent_before = sent_parts(&harness).len();
    harness.open_all_connections();
    harness.advance(1000);
    assert_eq!(
        sent_parts(&harness).len(),
        sent_before,
        "expected the queued attempts to end with their query"
    );
}

#[test]
fn a_rejection_has_no_retry_after_if_the_settings_disable_it() {
    let settings = SETTINGS.replace("retry_after=true", "retry_after=false");
    let mut harness = EngineHarness::with_settings(&settings, 0);
    let without_replicas = harness.send_query(1, &[1.0]);
    let over_capacity = harness.send_query(1, &[1.0 / 64.0; 64]);
    let too_late = harness.connect_client();
    harness.send_query_from(too_late, 1, &[1.0], 1);
    for client in [without_replicas, over_capacity, too_late] {
        assert_eq!(
            harness.last_reply(client),
            Some(&QueryReply::Rejected { retry_after: None })
        );
    }
}

#[test]
fn over_capacity_a_query_is_rejected_at_once_with_retry_after() {
    let mut harness = EngineHarness::new(1);
    let clients: Vec<ClientId> = (0..20).map(|_| harness.send_query(1, &[0.2; 5])).collect();
    let rejected_at_once = clients
        .iter()
        .filter(|client| is_rejected(harness.last_reply(**client)))
        .count();
    assert_eq!(
        harness.engine.counters().received.over_capacity,
        10,
        "expected 10 of 20 queries to be rejected: ten with five parts each fill the capacity of 60"
    );
    assert!(rejected_at_once >= 10);
}

#[test]
fn parts_with_a_result_do_not_count_towards_the_capacity() {
    let mut harness = EngineHarness::new(3);
    for _ in 0..10 {
        harness.send_query(1, &[0.2; 5]);
    }
    harness.open_all_connections();
    let connection = *harness.in_flight.keys().next().unwrap();
    harness.respond_to_oldest(connection, PartStatus::Ok);
    let client = harness.send_query(1, &[0.2; 5]);
    assert_eq!(
        harness.last_reply(client),
        None,
        "expected no rejection with 59 of 60 queries and parts open"
    );
    let client = harness.send_query(1, &[0.2; 5]);
    assert!(is_rejected(harness.last_reply(client)));
}

#[test]
fn without_replicas_a_query_is_rejected_at_once_with_retry_after() {
    let mut harness = EngineHarness::new(1);
    harness.list_replica(1, "removed", 0);
    let client = harness.send_query(1, &[1.0]);
    let reply = harness.last_reply(client);
    assert!(is_rejected(reply), "{reply:?}");
    assert_eq!(harness.replies[&client][0].at, START);
}

#[test]
fn a_client_without_time_left_is_rejected_and_nothing_is_sent() {
    let mut harness = EngineHarness::new(1);
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 5);
    assert!(is_rejected(harness.last_reply(client)));
    assert!(harness.connections.is_empty());
}

#[test]
fn every_query_ends_before_its_client_times_out() {
    let mut harness = EngineHarness::new(2);
    let client = harness.send_query(0, &[0.5, 0.5]);
    harness.advance(10_000);
    assert!(harness.replies[&client][0].at < START + 5000 * MS);
    assert_eq!(harness.engine.counters().faults.reply_deadline, 0);
}

#[test]
fn a_second_query_with_the_id_of_an_open_one_is_rejected() {
    let mut harness = EngineHarness::new(1);
    let client = harness.send_query(1, &[1.0]);
    let send_with_same_id = |harness: &mut EngineHarness| {
        let other = harness.connect_client();
        let query = query(&format!("q{client}"), 1, &[1.0], 5000);
        harness.send_request(other, ClientRequest::Query(query));
        harness.last_reply(other).cloned()
    };
    assert!(matches!(
        send_with_same_id(&mut harness),
        Some(QueryReply::InvalidRequest(RequestError { status: 409, .. }))
    ));
    harness.open_all_connections();
    assert_eq!(
        sent_parts(&harness).len(),
        1,
        "expected no attempt for the second query, whose wire ids would be the same"
    );
    harness.respond_to_all();
    assert!(
        matches!(
            send_with_same_id(&mut harness),
            Some(QueryReply::InvalidRequest(RequestError { status: 409, .. }))
        ),
        "expected a rejection while a copy of the first response may follow"
    );
    harness.advance(1000);
    send_with_same_id(&mut harness);
    assert_eq!(
        sent_parts(&harness).len(),
        2,
        "expected the id to be accepted some time after the first query has ended"
    );
}

/// Replicas, clients and queries come and go, each with a new name. A table that kept an entry for
/// each of them would grow without bound.
#[test]
fn tables_do_not_grow_with_past_replicas_clients_and_queries() {
    let mut harness = EngineHarness::new(1);
    let mut retained = Vec::new();
    let mut replica = 1;
    for _ in 0..4 {
        for _ in 0..100 {
            replica += 1;
            harness.list_replica(replica, "up", 0);
            harness.list_replica(replica - 1, "removed", 0);
            let client = harness.send_query(1, &[0.5, 0.5]);
            harness.open_all_connections();
            harness.respond_to_all();
            harness.advance(150);
            harness.disconnected.insert(client);
            harness.apply(Input::ClientDisconnected { client });
        }
        retained.push(harness.engine.retained_entries());
    }
    assert!(
        retained[1..]
            .iter()
            .all(|entries| *entries <= retained[0] + 5),
        "{retained:?}"
    );
    assert_eq!(harness.engine.counters().queries_ended.complete, 400);
}
