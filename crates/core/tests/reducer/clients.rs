//! Eviction of clients when many are connected, and the readiness check.

use crate::support::engine_harness::{EngineHarness, START};
use aggregator_core::engine::{ClientId, Effect, Input};
use aggregator_core::protocol::query::{ClientRequest, QueryReply};

/// Connects a client, sends a query from it and answers the query.
fn connect_and_query(harness: &mut EngineHarness) -> ClientId {
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.respond_to_all();
    client
}

#[test]
fn above_the_capacity_each_new_client_evicts_two_idle_ones() {
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
        "expected two evictions for each client above 460, the share of 1,024 descriptors"
    );
}

/// Hundreds of clients connect and send nothing. Clients that have sent queries keep their
/// connections, although these have been idle for longer.
#[test]
fn clients_that_never_sent_a_query_are_closed_first() {
    let mut harness = EngineHarness::new(1);
    let client_with_query = connect_and_query(&mut harness);
    for _ in 0..2000 {
        harness.connect_client();
    }
    let closed = &harness.closed_clients;
    assert!(closed.len() > 1500 && !closed.contains(&client_with_query));
}

/// Some clients send one query and never close their connection.
#[test]
fn above_half_of_the_capacity_clients_idle_for_two_seconds_are_evicted() {
    let mut harness = EngineHarness::new(1);
    let early: Vec<ClientId> = (0..300).map(|_| connect_and_query(&mut harness)).collect();
    assert!(harness.closed_clients.is_empty());
    harness.advance(2000);
    let late: Vec<ClientId> = (0..150).map(|_| connect_and_query(&mut harness)).collect();
    let is_closed = |client: &ClientId| harness.closed_clients.contains(client);
    assert!(
        early[..70].iter().all(is_closed),
        "expected evictions until half of the capacity is in use"
    );
    assert!(!late.iter().any(is_closed));
}

#[test]
fn readiness_requires_endpoints_and_no_shutdown_request() {
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
