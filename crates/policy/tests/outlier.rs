//! Outlier detection: ejection, saturated replicas and health checks.

mod support;

use aggregator_policy::api::{
    Action, AttemptOutcome, Event, HealthCheckEnded, PolicySettings, ReplicaId,
};
use support::{all_attempts_ended, class, sent_attempts, settings, PolicyHarness, MS, START};

#[test]
fn the_only_holder_is_used_though_an_outlier() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 1);
    harness.query(0, 0, &[1.0]);
    harness.run_timers(10, 900);
    assert_eq!(sent_attempts(&harness.query(910, 0, &[1.0]).1).len(), 1);
}

#[test]
fn a_saturated_replica_is_avoided_for_a_while() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let saturated = sent_attempts(&actions)[0].1;
    harness.end_attempt(1, id + 1, 0, saturated, AttemptOutcome::Rejected);
    for i in 0..10 {
        let (_, actions) = harness.query(10 + i, 0, &[1.0]);
        assert_ne!(sent_attempts(&actions)[0].1, saturated);
    }
}

/// Breaks the connection to replica 1 and returns how many ms it is ejected. Replica 2 fails all
/// attempts.
fn ejection_time(harness: &mut PolicyHarness) -> u64 {
    let mut broken = None;
    for _ in 0..400 {
        let ms = (harness.now - START) / MS + 50;
        let (id, actions) = harness.query(ms, 0, &[1.0]);
        let (_, replica) = sent_attempts(&actions)[0];
        match (replica == ReplicaId(1), broken) {
            (true, Some(at)) => {
                harness.end_attempt(ms + 10, id + 1, 0, replica, AttemptOutcome::Success);
                return ms - at;
            }
            (true, None) => {
                broken = Some(ms);
                harness.end_attempt(ms + 1, id + 1, 0, replica, AttemptOutcome::ConnectionLost);
            }
            (false, _) => {
                drop(harness.end_attempt(ms + 1, id + 1, 0, replica, AttemptOutcome::Error));
            }
        }
    }
    panic!("no attempt was sent to it again");
}

#[test]
fn a_replica_that_keeps_failing_is_ejected_each_time() {
    let mut harness = PolicyHarness::new(
        PolicySettings {
            max_attempts: Some(1),
            ..settings(vec![class(2000, 1.0)])
        },
        2,
    );
    let (first, second) = (ejection_time(&mut harness), ejection_time(&mut harness));
    assert!(
        first >= 1000 && second >= 1000,
        "ejected for {first} ms, then for {second} ms"
    );
}

/// With few queries, a replica that never answered must not be assumed to have the mean latency
/// again soon after it failed.
#[test]
fn failures_of_a_replica_that_never_answered_are_remembered() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let (_, dead) = sent_attempts(&actions)[0];
    let again = harness.end_attempt(250, id + 1, 0, dead, AttemptOutcome::Unreachable);
    harness.end_attempt(
        1000,
        id + 1,
        1,
        sent_attempts(&again)[0].1,
        AttemptOutcome::Success,
    );
    for at in [6000, 7000, 8000] {
        assert_ne!(harness.serve_query(at, 700), dead);
    }
}

/// Requests to one replica are lost: the hedged request is answered and the first attempt is
/// cancelled, so that no outcome ever states that it was lost.
#[test]
fn a_silent_attempt_that_lost_against_its_hedge_counts_as_a_failure() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    for i in 0..10 {
        harness.serve_query(i * 200, 100);
    }
    let (id, actions) = harness.query(3000, 0, &[1.0]);
    let (_, lossy) = sent_attempts(&actions)[0];
    let hedge = sent_attempts(&harness.run_timers(3010, 3900))[0].1;
    harness.end_attempt(4000, id + 1, 1, hedge, AttemptOutcome::Success);
    assert_ne!(hedge, lossy);
    for at in [6000, 6500, 7000] {
        assert_eq!(harness.serve_query(at, 150), hedge);
    }
}

/// Many replicas do not respond to this aggregator: the others are checked by health checks, not by
/// parts of queries.
#[test]
fn many_silent_replicas_cause_one_round_of_health_checks() {
    let health_checks = |actions: &[Action]| -> Vec<ReplicaId> {
        let health_check = |a: &Action| {
            if let Action::CheckHealth { replica } = a {
                Some(*replica)
            } else {
                None
            }
        };
        actions.iter().filter_map(health_check).collect()
    };
    for health_checks_allowed in [false, true] {
        let kind = PolicySettings {
            health_checks_allowed,
            max_parts_per_call: None,
            ..settings(vec![class(2000, 1.0)])
        };
        let mut harness = PolicyHarness::new(kind, 20);
        let (_, actions) = harness.query(0, 0, &[0.25; 4]);
        let sent = sent_attempts(&actions);
        let polled = health_checks(
            &harness.handle_at(250, &all_attempts_ended(&sent, AttemptOutcome::Unreachable)),
        );
        assert_eq!(polled.is_empty(), !health_checks_allowed);
        assert!(
            sent.iter().all(|(_, failed)| !polled.contains(failed)),
            "only replicas without an attempt"
        );
        assert!(
            health_checks(&harness.run_timers(260, 1000)).is_empty(),
            "one round only"
        );
        let Some(bad) = polled.first() else { continue };
        let (latency, report) = (250 * MS, vec![]);
        harness.handle_at(
            1010,
            &[Event::HealthCheckEnded(HealthCheckEnded {
                replica: *bad,
                outcome: AttemptOutcome::TimedOut,
                latency,
                report,
            })],
        );
        let (_, next) = harness.query(1020, 0, &[0.1; 10]);
        assert!(sent_attempts(&next)
            .iter()
            .all(|(_, replica)| replica != bad));
    }
}
