//! Connections to leaf servers: when they are opened, reused and closed.

use crate::support::engine_harness::{address, query, EngineHarness, SETTINGS};
use crate::{is_complete, sent_parts};
use aggregator_core::engine::{ClientId, Input};
use aggregator_core::protocol::leaf::{LeafRequest, PartStatus};
use aggregator_core::protocol::query::ClientRequest;

/// Connections to leaf servers for which the descriptors of the harness suffice.
const CONNECTION_CAPACITY: usize = 409;

/// Returns the number of parts of each call that was sent, in order.
fn parts_per_call(harness: &EngineHarness) -> Vec<usize> {
    let calls = harness.frames.iter().filter_map(|sent| match &sent.frame {
        LeafRequest::Call(parts) => Some(parts.len()),
        _ => None,
    });
    calls.collect()
}

#[test]
fn parts_of_one_batch_share_a_connection_and_later_ones_reuse_it() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.send_query(1, &[1.0]);
    let opened = harness.engine.counters().connections.opened;
    assert_eq!((harness.connections.len(), opened), (1, 1));
    assert_eq!(sent_parts(&harness).len(), 3);
}

#[test]
fn a_second_connection_is_opened_beside_a_full_one() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[0.2; 5]);
    assert_eq!(
        harness.connections.len(),
        2,
        "expected a second connection for the part beyond the limit of four streams"
    );
}

#[test]
fn a_connection_that_is_never_established_times_out() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    harness.advance(249);
    assert_eq!(harness.engine.counters().attempts_ended.unreachable, 0);
    harness.advance(2);
    assert!(harness.engine.counters().attempts_ended.unreachable >= 1);
    assert!(sent_parts(&harness).is_empty());
}

#[test]
fn an_unresponsive_connection_gets_no_new_attempt() {
    let mut harness = EngineHarness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let unresponsive = harness.first_connection();
    // The only replica sends no response until the client times out.
    harness.advance(6000);
    assert!(harness.last_reply(client).is_some());
    assert!(
        !harness.connections.contains_key(&unresponsive),
        "expected the connection to be closed, since nothing is in flight on it"
    );
    harness.send_query(1, &[1.0]);
    let mut connections = harness.connections.keys();
    assert!(
        connections.all(|connection| *connection > unresponsive),
        "expected a new connection, which shows at once whether the replica is reachable"
    );
}

#[test]
fn a_connection_is_closed_even_if_its_socket_never_accepts_a_frame() {
    let mut harness = EngineHarness::new(1);
    harness.writes_are_stuck = true;
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let stuck = harness.first_connection();
    harness.advance(6000);
    assert!(
        !harness.connections.contains_key(&stuck),
        "expected the connection to be closed: its peer has vanished with the send buffer full"
    );
}

#[test]
fn an_idle_connection_is_closed_before_the_leaf_server_closes_it() {
    let mut harness = EngineHarness::new(1);
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.advance(26_000);
    assert_eq!(harness.connections.len(), 1);
    harness.advance(3_000);
    assert!(harness.connections.is_empty());
}

#[test]
fn a_call_has_no_more_parts_than_the_settings_allow() {
    let settings = format!("{SETTINGS}extra.bundle_max=3\n");
    let mut harness = EngineHarness::with_settings(&settings, 1);
    harness.send_query(1, &[0.25; 4]);
    harness.open_all_connections();
    assert_eq!(parts_per_call(&harness), [3, 1]);
}

#[test]
fn a_part_of_a_later_batch_does_not_join_a_queued_call() {
    let settings = format!("{SETTINGS}extra.bundle_max=3\n");
    let mut harness = EngineHarness::with_settings(&settings, 1);
    harness.send_query(1, &[0.5, 0.5]);
    harness.send_query(1, &[1.0]);
    assert!(
        harness.frames.is_empty(),
        "expected both calls to wait for the connection"
    );
    harness.open_all_connections();
    assert_eq!(parts_per_call(&harness), [2, 1]);
}

/// The remaining descriptors are for clients, the watch and the process itself.
#[test]
fn leaf_connections_use_no_more_than_their_share_of_the_descriptors() {
    let settings = SETTINGS.replace("open_cap=60", "open_cap=9999");
    let mut harness = EngineHarness::with_settings(&settings, 500);
    let mut peak = 0;
    for _ in 0..600 {
        harness.send_query(1, &[1.0]);
        peak = peak.max(harness.connections.len());
    }
    assert_eq!(
        peak, CONNECTION_CAPACITY,
        "expected 40 percent of the 1,024 descriptors"
    );
}

/// Creates an engine with this number of replicas, each of which holds one shard: replica 1 holds
/// shard 0, and so on.
fn engine_with_a_shard_per_replica(replicas: u64) -> EngineHarness {
    let settings = SETTINGS
        .replace("extra.places=1", &format!("extra.places={replicas}"))
        .replace("extra.ranges=8", &format!("extra.ranges={replicas}"));
    let mut harness = EngineHarness::with_settings(&settings, 0);
    let line = |replica: u64| {
        serde_json::json!({"name": format!("s-{replica}"), "address": address(replica),
            "group": replica - 1, "status": "up"})
    };
    let lines: Vec<_> = (1..=replicas).map(line).collect();
    let snapshot = serde_json::json!({"index": 2, "snapshot": true, "endpoints": lines});
    for replica in 1..=replicas {
        harness.set_status_of_address(&address(replica), "up");
    }
    let update = serde_json::from_value(snapshot).expect("valid endpoint list");
    harness.apply(Input::EndpointsUpdated(update));
    harness
}

/// Sends a query with a part at this shard and opens the connection for it.
fn query_shard(harness: &mut EngineHarness, shard: u32) -> ClientId {
    let client = harness.connect_client();
    let mut query = query(&format!("shard-{shard}"), 1, &[1.0], 5000);
    query.parts[0].shard = shard;
    harness.send_request(client, ClientRequest::Query(query));
    harness.open_all_connections();
    client
}

/// Guards against queries that fail because all connections lead to other replicas and are idle.
#[test]
fn a_new_connection_replaces_the_one_that_has_been_idle_for_longest() {
    const REPLICAS: u64 = 420;
    let mut harness = engine_with_a_shard_per_replica(REPLICAS);
    for shard in 0..REPLICAS as u32 {
        let client = query_shard(&mut harness, shard);
        harness.respond_to_all();
        let reply = harness.last_reply(client);
        assert!(is_complete(reply), "shard {shard}: {reply:?}");
        harness.advance(1);
    }
    assert_eq!(harness.connections.len(), CONNECTION_CAPACITY);
    let first_connected = REPLICAS - CONNECTION_CAPACITY as u64 + 1;
    let latest: Vec<String> = (first_connected..=REPLICAS).map(address).collect();
    let connected = harness.connections.values();
    let connected: Vec<String> = connected.map(|socket| socket.address.clone()).collect();
    assert_eq!(connected, latest);
}

#[test]
fn a_connection_in_use_is_not_replaced() {
    let mut harness = engine_with_a_shard_per_replica(CONNECTION_CAPACITY as u64 + 1);
    let in_use = query_shard(&mut harness, 0);
    for shard in 1..=CONNECTION_CAPACITY as u32 {
        query_shard(&mut harness, shard);
        let newest = *harness.connections.keys().next_back().unwrap();
        harness.respond_to_oldest(newest, PartStatus::Ok);
    }
    let first = harness.first_connection();
    harness.respond_to_oldest(first, PartStatus::Ok);
    assert!(is_complete(harness.last_reply(in_use)));
}
