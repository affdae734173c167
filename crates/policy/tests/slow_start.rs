//! Slow start: the allowance of replicas that warm up, over a whole fleet.

mod support;

use aggregator_policy::api::{
    AttemptOutcome, EndpointUpdateKind, Event, PolicySettings, ReplicaEntry, ReplicaId, RetryBudget,
};
use aggregator_policy::Policy;
use support::{
    attempt_ended, class, ready_replica, sent_attempts, settings, PolicyHarness, MS, START,
};

fn slow_start_settings() -> PolicySettings {
    let mut slow_start = settings(vec![class(2000, 1.0)]);
    slow_start.aggregators = 1;
    slow_start.initial_capacity = Some(0.2);
    slow_start.warm_up_time = 10_000 * MS;
    slow_start.overload_multiple = Some(4.0);
    slow_start.overload_window = 1000 * MS;
    slow_start
}

#[test]
fn a_burst_does_not_exceed_the_allowance_of_a_replica_that_warms_up() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![ReplicaEntry {
            started: START - MS,
            ..ready_replica(1)
        }],
    );
    let burst: usize = (0..50)
        .map(|i| sent_attempts(&harness.query(i, 0, &[0.5, 0.5]).1).len())
        .sum();
    assert!(
        burst <= 3,
        "{burst} parts sent at once to a replica that warms up"
    );
}

#[test]
fn the_allowance_returns_as_time_passes() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![ReplicaEntry {
            started: START - MS,
            ..ready_replica(1)
        }],
    );
    let sent =
        |harness: &mut PolicyHarness, ms| sent_attempts(&harness.query(ms, 0, &[1.0]).1).len();
    assert_eq!(sent(&mut harness, 0), 1);
    assert_eq!(sent(&mut harness, 10), 0);
    assert!(
        !sent_attempts(&harness.run_timers(1020, 1500)).is_empty(),
        "its allowance returns without a further send"
    );
}

/// Dozens of aggregators that each send one part in a window would together overload a replica that
/// warms up.
#[test]
fn many_aggregators_share_the_allowance_of_a_replica_that_warms_up() {
    let crowd = PolicySettings {
        aggregators: 50,
        ..slow_start_settings()
    };
    let mut together = 0;
    for seed in 0..50 {
        let mut harness = PolicyHarness {
            policy: Policy::new(crowd.clone(), seed),
            now: START,
            next: 1,
        };
        harness.update_endpoints(
            EndpointUpdateKind::Snapshot,
            vec![ReplicaEntry {
                started: START - MS,
                ..ready_replica(1)
            }],
        );
        let (_, actions) = harness.query(0, 0, &[1.0]);
        together += sent_attempts(&actions).len();
    }
    assert!(
        together <= 5,
        "{together} parts at once from fifty that have just started"
    );
}

/// Returns by how many parts all aggregators together exceed the allowance of a replica that
/// starts, in the worst overload window. Each aggregator first uses warm replicas at an even rate;
/// then there is a burst.
fn excess_over_the_allowance(aggregators: u32, seed: u64) -> f64 {
    const WARM: u64 = 4;
    let (warming, rate) = (slow_start_settings(), 20.0);
    let each = rate * WARM as f64 / f64::from(aggregators);
    let mut at: Vec<u64> = Vec::new();
    for n in 0..aggregators {
        let settings = PolicySettings {
            aggregators,
            ..warming.clone()
        };
        let policy = Policy::new(settings, seed * 1000 + u64::from(n));
        let mut harness = PolicyHarness {
            policy,
            now: START,
            next: 1,
        };
        harness.update_endpoints(
            EndpointUpdateKind::Cached,
            (1..=WARM).map(ready_replica).collect(),
        );
        let offset = u64::from(n) * 997 % (1000.0 / each) as u64;
        (0..(160.0 * each) as u64).for_each(|i| {
            harness.serve_query(offset + (i as f64 * 1000.0 / each) as u64, 10);
        });
        let notified = 160_500 + u64::from(n) * 37 % 500;
        harness.now = START + notified * MS;
        let fresh = ReplicaEntry {
            started: START + 160_000 * MS,
            ..ready_replica(9)
        };
        harness.update_endpoints(EndpointUpdateKind::Delta, vec![fresh]);
        for ms in (notified..notified + 6_000).step_by(100) {
            let (id, actions) = harness.query(ms + u64::from(n) % 100, 0, &[0.5, 0.5]);
            let sent = sent_attempts(&actions);
            at.extend(
                sent.iter()
                    .filter(|(_, replica)| replica.0 == 9)
                    .map(|_| harness.now),
            );
            let ends = sent
                .iter()
                .map(|(part, to)| attempt_ended(*part, 0, *to, AttemptOutcome::Cancelled));
            let mut ends: Vec<Event> = ends.collect();
            ends.push(Event::ClientDisconnected { id });
            harness.handle_at(ms + u64::from(n) % 100, &ends);
        }
    }
    at.sort_unstable();
    let over = at.iter().map(|end| {
        let sent = at
            .iter()
            .filter(|t| **t <= *end && *end - **t < warming.overload_window)
            .count() as f64;
        let age = (*end - START) as f64 / MS as f64 - 160_000.0;
        let warmth = 0.2 + 0.8 * age / 10_000.0;
        let allowance = 4.0 * warmth * rate;
        sent - (allowance + 2.0 * allowance.sqrt() + 2.0)
    });
    over.fold(f64::NEG_INFINITY, f64::max)
}

/// Each aggregator rounds its allowance at random in every window of its own; the overload window
/// may span two of them.
#[test]
fn an_entire_fleet_stays_within_the_allowance_in_any_window() {
    for aggregators in [2, 6, 25, 100, 300] {
        for seed in 0..2 {
            let over = excess_over_the_allowance(aggregators, seed);
            assert!(
                over <= 0.0,
                "{aggregators} aggregators: {over:.1} parts more than chance allows"
            );
        }
    }
}

/// Sends were once held for the budget's window and counted for the allowance, which was five times
/// too large for it.
#[test]
fn a_long_budget_window_does_not_raise_the_allowance() {
    let retry_budget = Some(RetryBudget {
        minimum: 10.0,
        ratio: 0.2,
        window: 10_000 * MS,
    });
    let mut harness = PolicyHarness::new(
        PolicySettings {
            retry_budget,
            ..slow_start_settings()
        },
        1,
    );
    (0..100).for_each(|i| {
        harness.serve_query(i * 100, 50);
    });
    harness.update_endpoints(
        EndpointUpdateKind::Delta,
        vec![ReplicaEntry {
            started: START + 9_990 * MS,
            ..ready_replica(2)
        }],
    );
    let burst: Vec<_> = (0..40)
        .flat_map(|i| sent_attempts(&harness.query(10_000 + i, 0, &[1.0]).1))
        .collect();
    let to_warming = burst
        .iter()
        .filter(|(_, replica)| *replica == ReplicaId(2))
        .count();
    assert!(
        (1..=6).contains(&to_warming),
        "{to_warming} parts for a replica with an allowance of about four"
    );
}

/// An aggregator that has run for less than the warm-up time must not divide its results by all of
/// that time: after a restart it would leave new replicas idle and overload the others.
#[test]
fn an_aggregator_that_has_just_started_uses_the_full_allowance() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 1);
    (0..100).for_each(|i| {
        harness.serve_query(i * 20, 10);
    });
    harness.update_endpoints(
        EndpointUpdateKind::Delta,
        vec![ReplicaEntry {
            started: START + 1_990 * MS,
            ..ready_replica(2)
        }],
    );
    let burst: Vec<_> = (0..40)
        .flat_map(|i| sent_attempts(&harness.query(2000 + i, 0, &[1.0]).1))
        .collect();
    let to_warming = burst
        .iter()
        .filter(|(_, replica)| *replica == ReplicaId(2))
        .count();
    assert!(
        (10..=21).contains(&to_warming),
        "{to_warming} parts for a replica with an allowance of about twenty"
    );
}

/// A query whose part waits for an allowance ends when its client disconnects.
#[test]
fn a_part_that_waits_for_an_allowance_is_not_sent_after_a_disconnect() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![ReplicaEntry {
            started: START - MS,
            ..ready_replica(1)
        }],
    );
    assert_eq!(sent_attempts(&harness.query(0, 0, &[1.0]).1).len(), 1);
    let (waiting, sent) = harness.query(10, 0, &[1.0]);
    assert!(sent_attempts(&sent).is_empty(), "the allowance is used up");
    harness.handle_at(100, &[Event::ClientDisconnected { id: waiting }]);
    let later = sent_attempts(&harness.run_timers(110, 6000));
    assert!(later.iter().all(|(part, _)| *part != waiting + 1));
}
