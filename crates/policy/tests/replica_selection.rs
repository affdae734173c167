//! Tests of replica selection by latency, calls in flight, zone and placement.

mod support;

use aggregator_policy::api::{
    AttemptOutcome, EndpointUpdateKind, PolicySettings, ReplicaEntry, ReplicaId,
};
use support::{all_attempts_ended, class, ready_replica, sent_attempts, settings, PolicyHarness};

#[test]
fn parts_of_one_query_share_a_call() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    let (_, actions) = harness.query(0, 0, &[0.25; 4]);
    let sent = sent_attempts(&actions);
    assert_eq!(sent.len(), 4);
    assert!(sent.iter().all(|(_, replica)| *replica == sent[0].1));
}

#[test]
fn parts_are_spread_over_replicas_if_calls_are_not_shared() {
    let mut one_part_per_call = settings(vec![class(2000, 1.0)]);
    one_part_per_call.max_parts_per_call = None;
    let mut harness = PolicyHarness::new(one_part_per_call, 3);
    let (_, actions) = harness.query(0, 0, &[1.0 / 3.0; 3]);
    let replicas: std::collections::BTreeSet<_> = sent_attempts(&actions)
        .into_iter()
        .map(|(_, replica)| replica)
        .collect();
    assert_eq!(replicas.len(), 3);
}

#[test]
fn the_least_latency_times_open_calls_plus_one_is_selected() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    let slow = harness.serve_query(0, 400);
    let fast = ReplicaId(3 - slow.0);
    let mut ms = 500;
    for _ in 0..20 {
        let (id, actions) = harness.query(ms, 0, &[1.0]);
        let (_, replica) = sent_attempts(&actions)[0];
        let latency_ms = if replica == fast { 100 } else { 450 };
        harness.end_attempt(ms + latency_ms, id + 1, 0, replica, AttemptOutcome::Success);
        ms += 500;
    }
    let (_, last) = harness.query(ms + 500, 0, &[1.0]);
    assert_eq!(sent_attempts(&last)[0].1, fast);
}

/// Each part sent to another zone has a price that does not depend on the load. A short queue at a
/// replica in the same zone costs less than that, and a long queue costs more.
#[test]
fn a_replica_in_the_same_zone_is_preferred_while_its_queue_is_short() {
    let cross_zone_priced = PolicySettings {
        zone: 1,
        cross_zone_price: 0.04,
        max_parts_per_call: None,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut harness = PolicyHarness::new(cross_zone_priced, 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![
            ready_replica(1),
            ReplicaEntry {
                zone: 1,
                ..ready_replica(2)
            },
            ready_replica(3),
        ],
    );
    let sent = sent_attempts(&harness.query(0, 0, &[0.4, 0.3, 0.3]).1);
    let in_same_zone = sent
        .iter()
        .map(|(_, replica)| *replica == ReplicaId(2))
        .collect::<Vec<_>>();
    assert_eq!(
        in_same_zone,
        [true, true, false],
        "expected one queued part to cost less than the other zone, and two to cost more"
    );
}

/// Each shard is held by the replicas in its cell and in the following ones; the first cell follows
/// the last.
#[test]
fn a_part_goes_only_to_replicas_whose_cells_hold_its_shard() {
    let five_cells = PolicySettings {
        placement_cells: 5,
        cells_per_shard: 2,
        max_parts_per_call: None,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut harness = PolicyHarness::new(five_cells, 0);
    let in_cell = |cell: u16| ReplicaEntry {
        cell,
        ..ready_replica(u64::from(cell))
    };
    let entries = (0..5).map(in_cell).collect();
    harness.update_endpoints(EndpointUpdateKind::Snapshot, entries);
    for round in 0..20 {
        let (id, actions) = harness.query(round * 100, 0, &[0.1; 10]);
        let sent = sent_attempts(&actions);
        assert_eq!(sent.len(), 10);
        harness.handle_at(
            round * 100 + 20,
            &all_attempts_ended(&sent, AttemptOutcome::Success),
        );
        for (part, replica) in sent {
            let shard = part - id - 1;
            let holders = [shard % 5, (shard + 1) % 5];
            assert!(
                holders.contains(&replica.0),
                "expected a replica in cells {holders:?} for shard {shard}, found {replica:?}"
            );
        }
    }
}
