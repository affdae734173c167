//! Eviction of clients when many are connected, and the readiness check.

use crate::is_rejected;
use crate::support::engine_harness::{EngineHarness, SETTINGS, START};
use aggregator_core::engine::{ClientId, Effect, Input};
use aggregator_core::protocol::query::{ClientRequest, QueryReply};

/// Number of clients for which the descriptors of the harness suffice.
const CLIENT_CAPACITY: usize = 460;

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

/// Guards against a listener that waits while no client can be evicted: each client above the
/// capacity must be able to make room for the next one.
#[test]
fn clients_above_the_capacity_never_wait_for_a_reply() {
    let settings = SETTINGS.replace("limits.open_cap=60", "limits.open_cap=10000");
    let mut harness = EngineHarness::with_settings(&settings, 1);
    let clients: Vec<ClientId> = (0..500).map(|_| harness.send_query(1, &[1.0])).collect();
    let (waiting, above) = clients.split_at(CLIENT_CAPACITY);
    let waits = |client: &ClientId| harness.last_reply(*client).is_none();
    assert!(waiting.iter().all(waits));
    assert!(above
        .iter()
        .all(|client| is_rejected(harness.last_reply(*client))));
    let (_newest, earlier) = above.split_last().unwrap();
    assert_eq!(
        harness.closed_clients, earlier,
        "expected that each client above the capacity makes room for the next one"
    );
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
