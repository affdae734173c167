//! Tests of the endpoint list: draining replicas, and polls with backoff.

mod support;

use aggregator_policy::api::{
    Action, EndpointUpdateKind, Event, PolicySettings, ReplicaEntry, ReplicaId, ReplicaState,
};
use aggregator_policy::Policy;
use support::{class, ready_replica, sent_attempts, settings, PolicyHarness, MS, START};

#[test]
fn a_draining_replica_gets_no_new_attempts() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    let draining = ReplicaEntry {
        state: ReplicaState::Draining,
        ..ready_replica(1)
    };
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![draining]);
    for index in 0..20 {
        let (_, actions) = harness.query(index * 20, 0, &[1.0]);
        assert!(sent_attempts(&actions)
            .iter()
            .all(|(_, replica)| *replica == ReplicaId(2)));
    }
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]);
    assert!(
        sent_attempts(&harness.query(500, 0, &[1.0]).1).is_empty(),
        "expected no attempt after all replicas have left the list"
    );
}

/// If all aggregators repeated a failed poll at once, the discovery service would be too busy to
/// answer any of them.
#[test]
fn a_polled_list_is_polled_again_with_backoff_after_failures() {
    let polled_list = PolicySettings {
        endpoint_list_polled: true,
        poll_interval: 20_000 * MS,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut harness = PolicyHarness {
        policy: Policy::new(polled_list, 1),
        now: START,
        next_query: 1,
    };
    let polls = |actions: &[Action]| actions.contains(&Action::WatchEndpoints { enabled: true });
    let first_poll_ms = (0..)
        .map(|tick| tick * 10)
        .find(|ms| polls(&harness.handle_at(*ms, &[])))
        .unwrap();
    assert!(
        first_poll_ms <= 6_000,
        "expected the first poll within 6 s, found {first_poll_ms} ms"
    );
    assert!(!polls(&harness.handle_at(first_poll_ms + 10, &[])));
    let mut last_poll_ms = first_poll_ms;
    for earlier_failures in 0..4 {
        let failed_ms = last_poll_ms + 20;
        let failed = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Unavailable,
            entries: vec![],
        };
        let actions = harness.handle_at(failed_ms, &[failed]);
        let sets_timer = actions
            .iter()
            .any(|action| matches!(action, Action::SetTimer { .. }));
        assert!(
            sets_timer && !polls(&actions),
            "expected a timer and no poll while no query is open"
        );
        let next_poll_ms = (failed_ms / 10 + 1..)
            .map(|tick| tick * 10)
            .find(|ms| polls(&harness.fire_timer(*ms)))
            .unwrap();
        assert!(
            next_poll_ms - failed_ms >= (2_000 << earlier_failures).min(6_000),
            "expected a backoff that grows with each failure"
        );
        assert!(
            next_poll_ms - failed_ms <= 20_000,
            "expected the next poll within the poll interval"
        );
        last_poll_ms = next_poll_ms;
    }
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![ready_replica(1)]);
    assert!(
        (0..300).all(|tick| !polls(&harness.fire_timer(last_poll_ms + 100 + tick * 100))),
        "expected no poll while the watch is open"
    );
}
