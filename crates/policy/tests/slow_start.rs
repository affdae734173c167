//! Tests of slow start: the allowance of replicas that are warming up, for one aggregator and for a
//! whole fleet.

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
fn a_burst_does_not_exceed_the_allowance_of_a_warming_replica() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![ReplicaEntry {
            started_at: START - MS,
            ..ready_replica(1)
        }],
    );
    let burst: usize = (0..50)
        .map(|ms| sent_attempts(&harness.query(ms, 0, &[0.5, 0.5]).1).len())
        .sum();
    assert!(
        burst <= 3,
        "expected at most 3 parts sent to a warming replica within 50 ms, found {burst}"
    );
}

#[test]
fn the_allowance_returns_as_time_passes() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![ReplicaEntry {
            started_at: START - MS,
            ..ready_replica(1)
        }],
    );
    let sent =
        |harness: &mut PolicyHarness, ms| sent_attempts(&harness.query(ms, 0, &[1.0]).1).len();
    assert_eq!(sent(&mut harness, 0), 1);
    assert_eq!(sent(&mut harness, 10), 0);
    assert!(
        !sent_attempts(&harness.run_timers(1020, 1500)).is_empty(),
        "expected the waiting part to be sent once the allowance returns"
    );
}

/// Dozens of aggregators that each send one part in a window would together overload a replica that
/// is warming up.
#[test]
fn many_aggregators_share_the_allowance_of_a_warming_replica() {
    let large_fleet = PolicySettings {
        aggregators: 50,
        ..slow_start_settings()
    };
    let mut total_sent = 0;
    for seed in 0..50 {
        let mut harness = PolicyHarness {
            policy: Policy::new(large_fleet.clone(), seed),
            now: START,
            next_query: 1,
        };
        harness.update_endpoints(
            EndpointUpdateKind::Snapshot,
            vec![ReplicaEntry {
                started_at: START - MS,
                ..ready_replica(1)
            }],
        );
        let (_, actions) = harness.query(0, 0, &[1.0]);
        total_sent += sent_attempts(&actions).len();
    }
    assert!(
        total_sent <= 5,
        "expected at most 5 parts sent by 50 aggregators that have just started, found {total_sent}"
    );
}

/// Returns by how many parts all aggregators together exceed the allowance of a replica that is
/// warming up, in the worst overload window. Each aggregator first uses warm replicas at a constant
/// rate; a burst follows after the new replica has started.
fn excess_over_the_allowance(aggregators: u32, seed: u64) -> f64 {
    const WARM_REPLICAS: u64 = 4;
    let (slow_start, rate_per_replica) = (slow_start_settings(), 20.0);
    let rate_per_aggregator = rate_per_replica * WARM_REPLICAS as f64 / f64::from(aggregators);
    let mut send_times: Vec<u64> = Vec::new();
    for number in 0..aggregators {
        let settings = PolicySettings {
            aggregators,
            ..slow_start.clone()
        };
        let policy = Policy::new(settings, seed * 1000 + u64::from(number));
        let mut harness = PolicyHarness {
            policy,
            now: START,
            next_query: 1,
        };
        harness.update_endpoints(
            EndpointUpdateKind::Cached,
            (1..=WARM_REPLICAS).map(ready_replica).collect(),
        );
        let interval_ms = 1000.0 / rate_per_aggregator;
        let offset_ms = u64::from(number) * 997 % interval_ms as u64;
        (0..(160.0 * rate_per_aggregator) as u64).for_each(|index| {
            let since_offset_ms = index as f64 * 1000.0 / rate_per_aggregator;
            harness.serve_query(offset_ms + since_offset_ms as u64, 10);
        });
        let notified_ms = 160_500 + u64::from(number) * 37 % 500;
        harness.now = START + notified_ms * MS;
        let warming_replica = ReplicaEntry {
            started_at: START + 160_000 * MS,
            ..ready_replica(9)
        };
        harness.update_endpoints(EndpointUpdateKind::Delta, vec![warming_replica]);
        for ms in (notified_ms..notified_ms + 6_000).step_by(100) {
            let (id, actions) = harness.query(ms + u64::from(number) % 100, 0, &[0.5, 0.5]);
            let sent = sent_attempts(&actions);
            send_times.extend(
                sent.iter()
                    .filter(|(_, replica)| replica.0 == 9)
                    .map(|_| harness.now),
            );
            let ends = sent.iter().map(|(part, replica)| {
                attempt_ended(*part, 0, *replica, AttemptOutcome::Cancelled)
            });
            let mut ends: Vec<Event> = ends.collect();
            ends.push(Event::ClientDisconnected { id });
            harness.handle_at(ms + u64::from(number) % 100, &ends);
        }
    }
    send_times.sort_unstable();
    let excess = send_times.iter().map(|end| {
        let sent_parts = send_times
            .iter()
            .filter(|time| **time <= *end && *end - **time < slow_start.overload_window)
            .count() as f64;
        let age_ms = (*end - START) as f64 / MS as f64 - 160_000.0;
        let capacity = 0.2 + 0.8 * age_ms / 10_000.0;
        let allowance = 4.0 * capacity * rate_per_replica;
        sent_parts - (allowance + 2.0 * allowance.sqrt() + 2.0)
    });
    excess.fold(f64::NEG_INFINITY, f64::max)
}

/// Each aggregator rounds its allowance at random in each of its own windows, and an overload
/// window of the replica may span two of them.
#[test]
fn a_whole_fleet_stays_within_the_allowance_in_any_window() {
    for aggregators in [2, 6, 25, 100, 300] {
        for seed in 0..2 {
            let excess = excess_over_the_allowance(aggregators, seed);
            assert!(
                excess <= 0.0,
                "expected no excess over the allowance and its deviation with {aggregators} \
                 aggregators, found {excess:.1} parts"
            );
        }
    }
}

/// An allowance derived from the number of parts sent within the window of the retry budget would
/// be five times too large for the replica.
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
    (0..100).for_each(|index| {
        harness.serve_query(index * 100, 50);
    });
    harness.update_endpoints(
        EndpointUpdateKind::Delta,
        vec![ReplicaEntry {
            started_at: START + 9_990 * MS,
            ..ready_replica(2)
        }],
    );
    let burst: Vec<_> = (0..40)
        .flat_map(|offset_ms| sent_attempts(&harness.query(10_000 + offset_ms, 0, &[1.0]).1))
        .collect();
    let to_warming = burst
        .iter()
        .filter(|(_, replica)| *replica == ReplicaId(2))
        .count();
    assert!(
        (1..=6).contains(&to_warming),
        "expected 1 to 6 parts for a replica with an allowance of about 4, found {to_warming}"
    );
}

/// An aggregator that has run for less than the warm-up time must divide its results by its uptime
/// and not by the whole time over which results are counted. Otherwise, after a restart, it would
/// leave new replicas idle and overload the others.
#[test]
fn an_aggregator_that_has_just_started_uses_the_full_allowance() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 1);
    (0..100).for_each(|index| {
        harness.serve_query(index * 20, 10);
    });
    harness.update_endpoints(
        EndpointUpdateKind::Delta,
        vec![ReplicaEntry {
            started_at: START + 1_990 * MS,
            ..ready_replica(2)
        }],
    );
    let burst: Vec<_> = (0..40)
        .flat_map(|offset_ms| sent_attempts(&harness.query(2000 + offset_ms, 0, &[1.0]).1))
        .collect();
    let to_warming = burst
        .iter()
        .filter(|(_, replica)| *replica == ReplicaId(2))
        .count();
    assert!(
        (10..=21).contains(&to_warming),
        "expected 10 to 21 parts for a replica with an allowance of about 20, found {to_warming}"
    );
}

/// A query whose part waits for an allowance ends when its client disconnects.
#[test]
fn a_part_that_waits_for_an_allowance_is_not_sent_after_a_disconnect() {
    let mut harness = PolicyHarness::new(slow_start_settings(), 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![ReplicaEntry {
            started_at: START - MS,
            ..ready_replica(1)
        }],
    );
    assert_eq!(sent_attempts(&harness.query(0, 0, &[1.0]).1).len(), 1);
    let (waiting, sent) = harness.query(10, 0, &[1.0]);
    assert!(
        sent_attempts(&sent).is_empty(),
        "expected the allowance to be used up"
    );
    harness.handle_at(100, &[Event::ClientDisconnected { id: waiting }]);
    let later = sent_attempts(&harness.run_timers(110, 6000));
    assert!(later.iter().all(|(part, _)| *part != waiting + 1));
}
