//! The endpoint list: draining replicas and polling with backoff.

mod support;

use aggregator_policy::api::{
    Action, EndpointUpdateKind, Event, PolicySettings, ReplicaEntry, ReplicaId, ReplicaState,
};
use aggregator_policy::Policy;
use support::{class, ready_replica, sent_attempts, settings, PolicyHarness, MS, START};

#[test]
fn a_draining_replica_gets_nothing_new() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    let drains = ReplicaEntry {
        state: ReplicaState::Draining,
        ..ready_replica(1)
    };
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![drains]);
    for i in 0..20 {
        let (_, actions) = harness.query(i * 20, 0, &[1.0]);
        assert!(sent_attempts(&actions)
            .iter()
            .all(|(_, r)| *r == ReplicaId(2)));
    }
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]);
    assert!(
        sent_attempts(&harness.query(500, 0, &[1.0]).1).is_empty(),
        "all have left the list"
    );
}

/// If all aggregators repeated a failed poll at once, the endpoint list's service would be too busy
/// to answer any.
#[test]
fn a_polled_list_is_polled_again_with_backoff_after_failures() {
    let on_request = PolicySettings {
        endpoint_list_polled: true,
        poll_interval: 20_000 * MS,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut harness = PolicyHarness {
        policy: Policy::new(on_request, 1),
        now: START,
        next: 1,
    };
    let polled = |actions: &[Action]| actions.contains(&Action::WatchEndpoints { enabled: true });
    let first = (0..)
        .map(|t| t * 10)
        .find(|ms| polled(&harness.handle_at(*ms, &[])))
        .unwrap();
    assert!(first <= 6_000, "soon, at a random time");
    assert!(!polled(&harness.handle_at(first + 10, &[])));
    let mut last = first;
    for failure in 0..4 {
        let at = last + 20;
        let failed = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Unavailable,
            entries: vec![],
        };
        let actions = harness.handle_at(at, &[failed]);
        let woken = actions.iter().any(|a| matches!(a, Action::SetTimer { .. }));
        assert!(
            woken && !polled(&actions),
            "a timer, no call, though no query is open"
        );
        let again = (at / 10 + 1..)
            .map(|t| t * 10)
            .find(|ms| polled(&harness.fire_timer(*ms)))
            .unwrap();
        assert!(
            again - at >= (2_000 << failure).min(6_000),
            "longer each time"
        );
        assert!(again - at <= 20_000, "within the poll interval");
        last = again;
    }
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![ready_replica(1)]);
    assert!(
        (0..300).all(|t| !polled(&harness.fire_timer(last + 100 + t * 100))),
        "no poll while the watch is open"
    );
}
