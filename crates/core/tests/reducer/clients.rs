//! Clients: which are closed when many are connected, and the readiness check.

use crate::support::engine_harness::{EngineHarness, START};
use aggregator_core::engine::{ClientId, Effect, Input};
use aggregator_core::protocol::query::{ClientRequest, QueryReply};

/// Sends a query from a new client, and has it answered.
fn have_query_answered(harness: &mut EngineHarness) -> ClientId {
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.respond_to_all();
    client
}

#[test]
fn idle_clients_over_capacity_are_closed_two_for_each_that_connects() {
    let mut harness = EngineHarness::new(1);
    let connect = |client| {
        let input = Input::ClientConnected { client };
        harness.engine.apply(START, input)
    };
    let closed: Vec<Effect> = (1..=470).flat_map(connect).collect();
    let oldest: Vec<Effect> = (1..=20)
        .map(|client| Effect::CloseClient { client })
        .collect();
    assert_eq!(
        closed, oldest,
        "of 1,024 descriptors 460 are for clients, and two are closed for each above"
    );
}

/// Hundreds of clients connect and send nothing. The connections of clients that have sent queries
/// are kept, although they have been idle for longer.
#[test]
fn clients_that_never_sent_a_query_are_closed_first() {
    let mut harness = EngineHarness::new(1);
    let well_behaved = have_query_answered(&mut harness);
    for _ in 0..2000 {
        harness.connect_client();
    }
    let closed = &harness.closed_clients;
    assert!(closed.len() > 1500 && !closed.contains(&well_behaved));
}

/// Some clients send one query and never close their connection.
#[test]
fn clients_idle_for_two_seconds_are_closed_from_half_of_the_capacity_on() {
    let mut harness = EngineHarness::new(1);
    let early: Vec<ClientId> = (0..300)
        .map(|_| have_query_answered(&mut harness))
        .collect();
    assert!(harness.closed_clients.is_empty());
    harness.advance(2000);
    let late: Vec<ClientId> = (0..150)
        .map(|_| have_query_answered(&mut harness))
        .collect();
    let is_closed = |client: &ClientId| harness.closed_clients.contains(client);
    assert!(
        early[..70].iter().all(is_closed),
        "down to half of the capacity"
    );
    assert!(!late.iter().any(is_closed));
}

#[test]
fn not_ready_without_endpoints_nor_after_a_shutdown_request() {
    let is_ready = |harness: &mut EngineHarness| {
        let client = harness.connect_client();
        harness.send_request(client, ClientRequest::Ready);
        harness.last_reply(client) == Some(&QueryReply::Ready(true))
    };
    let mut harness = EngineHarness::new(0);
    assert!(!is_ready(&mut harness));
    harness.list_replica(1, "up", 0);
    assert!(is_ready(&mut harness));
    harness.apply(Input::ShutdownRequested);
    assert!(!is_ready(&mut harness));
}
