//! Tests of outlier detection: ejection, saturated replicas and health checks.

mod support;

use aggregator_policy::api::{
    Action, AttemptOutcome, Event, HealthCheckEnded, PolicySettings, ReplicaId,
};
use support::{all_attempts_ended, class, sent_attempts, settings, PolicyHarness, MS, START};

#[test]
fn the_only_replica_of_a_shard_is_used_even_if_it_is_an_outlier() {
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
    for offset_ms in 0..10 {
        let (_, actions) = harness.query(10 + offset_ms, 0, &[1.0]);
        assert_ne!(sent_attempts(&actions)[0].1, saturated);
    }
}

/// Ends an attempt at replica 1 with a lost connection, and returns the time until replica 1 is
/// selected again, in milliseconds. All attempts at replica 2 fail.
fn ejection_time_ms(harness: &mut PolicyHarness) -> u64 {
    let mut lost_at_ms = None;
    for _ in 0..400 {
        let ms = (harness.now - START) / MS + 50;
        let (id, actions) = harness.query(ms, 0, &[1.0]);
        let (_, replica) = sent_attempts(&actions)[0];
        match (replica == ReplicaId(1), lost_at_ms) {
            (true, Some(lost_at_ms)) => {
                harness.end_attempt(ms + 10, id + 1, 0, replica, AttemptOutcome::Success);
                return ms - lost_at_ms;
            }
            (true, None) => {
                lost_at_ms = Some(ms);
                harness.end_attempt(ms + 1, id + 1, 0, replica, AttemptOutcome::ConnectionLost);
            }
            (false, _) => {
                drop(harness.end_attempt(ms + 1, id + 1, 0, replica, AttemptOutcome::Error));
            }
        }
    }
    panic!("expected another attempt at replica 1 after its ejection");
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
    let first_ms = ejection_time_ms(&mut harness);
    let second_ms = ejection_time_ms(&mut harness);
    assert!(
        first_ms >= 1000 && second_ms >= 1000,
        "expected two ejections of at least 1000 ms, found {first_ms} ms and {second_ms} ms"
    );
}

/// With few queries, the latency of a replica that never answered must not return to the mean soon
/// after the replica failed.
#[test]
fn a_replica_that_never_answered_is_avoided_for_seconds_after_a_failure() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let (_, unreachable) = sent_attempts(&actions)[0];
    let retried = harness.end_attempt(250, id + 1, 0, unreachable, AttemptOutcome::Unreachable);
    harness.end_attempt(
        1000,
        id + 1,
        1,
        sent_attempts(&retried)[0].1,
        AttemptOutcome::Success,
    );
    for ms in [6000, 7000, 8000] {
        assert_ne!(harness.serve_query(ms, 700), unreachable);
    }
}

/// Requests to one replica are lost. The hedged request is answered and the first attempt is
/// cancelled, so no outcome reports the loss.
#[test]
fn a_cancelled_attempt_without_response_counts_as_a_failure() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    for index in 0..10 {
        harness.serve_query(index * 200, 100);
    }
    let (id, actions) = harness.query(3000, 0, &[1.0]);
    let (_, lossy) = sent_attempts(&actions)[0];
    let hedge = sent_attempts(&harness.run_timers(3010, 3900))[0].1;
    harness.end_attempt(4000, id + 1, 1, hedge, AttemptOutcome::Success);
    assert_ne!(hedge, lossy);
    for ms in [6000, 6500, 7000] {
        assert_eq!(harness.serve_query(ms, 150), hedge);
    }
}

/// Many replicas do not respond to this aggregator. Health checks of the others detect further
/// failed replicas before a part of a query has to wait for them.
#[test]
fn many_unresponsive_replicas_cause_one_round_of_health_checks() {
    let health_checks = |actions: &[Action]| -> Vec<ReplicaId> {
        let health_check = |action: &Action| {
            if let Action::CheckHealth { replica } = action {
                Some(*replica)
            } else {
                None
            }
        };
        actions.iter().filter_map(health_check).collect()
    };
    for health_checks_allowed in [false, true] {
        let settings = PolicySettings {
            health_checks_allowed,
            max_parts_per_call: None,
            ..settings(vec![class(2000, 1.0)])
        };
        let mut harness = PolicyHarness::new(settings, 20);
        let (_, actions) = harness.query(0, 0, &[0.25; 4]);
        let sent = sent_attempts(&actions);
        let checked = health_checks(
            &harness.handle_at(250, &all_attempts_ended(&sent, AttemptOutcome::Unreachable)),
        );
        assert_eq!(checked.is_empty(), !health_checks_allowed);
        assert!(
            sent.iter().all(|(_, failed)| !checked.contains(failed)),
            "expected health checks only of replicas without an attempt"
        );
        assert!(
            health_checks(&harness.run_timers(260, 1000)).is_empty(),
            "expected only one round of health checks"
        );
        let Some(unresponsive) = checked.first() else {
            continue;
        };
        let (latency, report) = (250 * MS, vec![]);
        harness.handle_at(
            1010,
            &[Event::HealthCheckEnded(HealthCheckEnded {
                replica: *unresponsive,
                outcome: AttemptOutcome::TimedOut,
                latency,
                report,
            })],
        );
        let (_, next) = harness.query(1020, 0, &[0.1; 10]);
        assert!(sent_attempts(&next)
            .iter()
            .all(|(_, replica)| replica != unresponsive));
    }
}
