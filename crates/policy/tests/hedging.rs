//! Hedging: when a hedged request is sent, and how many.

mod support;

use aggregator_policy::api::{AttemptOutcome, EndpointUpdateKind, PolicySettings, ReplicaId};
use support::{
    attempt_ended, class, final_actions, has_log_line, ready_replica, sent_attempts, settings,
    PolicyHarness,
};

#[test]
fn a_silent_replica_is_hedged_and_avoided() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let silent = sent_attempts(&actions)[0].1;
    let later = harness.run_timers(10, 400);
    let hedges = sent_attempts(&later);
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0].1, silent);
    assert!(has_log_line(&later, "is an outlier"));
    for i in 0..10 {
        let (_, actions) = harness.query(410 + i, 0, &[1.0]);
        assert_ne!(sent_attempts(&actions)[0].1, silent);
    }
    let back = harness.end_attempt(950, id + 1, 0, silent, AttemptOutcome::Success);
    assert_eq!(final_actions(&back)[0], "complete");
}

#[test]
fn hedging_is_capped_when_all_holders_are_slow() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    for i in 0..40 {
        harness.query(i * 5, 0, &[1.0]);
    }
    let hedges = sent_attempts(&harness.run_timers(210, 1900)).len();
    assert!(hedges <= 8, "{hedges} hedged requests for 40 parts");
}

#[test]
fn a_lost_part_is_hedged_while_its_replica_answers_others() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 1);
    harness.serve_query(0, 100);
    let (lost, _) = harness.query(200, 0, &[0.5, 0.5]);
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![ready_replica(2)]);
    harness.end_attempt(300, lost + 1, 0, ReplicaId(1), AttemptOutcome::Success);
    let hedges = sent_attempts(&harness.run_timers(310, 900));
    assert_eq!(hedges, [(lost + 2, ReplicaId(2))]);
    let (_, actions) = harness.query(910, 0, &[1.0]);
    assert_eq!(
        sent_attempts(&actions).len(),
        1,
        "the lost call does not block the replica"
    );
}

/// A single query of many parts, of which thirty are lost: hedged requests are sent for them also
/// when they are more than two seconds old.
#[test]
fn a_single_long_query_is_hedged_late() {
    let mut harness = PolicyHarness::new(
        PolicySettings {
            max_parts_per_call: None,
            ..settings(vec![class(4000, 1.0)])
        },
        200,
    );
    let (id, actions) = harness.query(0, 0, &[0.01; 100]);
    for (part, replica) in sent_attempts(&actions).into_iter().skip(30) {
        harness.end_attempt(300, part, 0, replica, AttemptOutcome::Success);
    }
    let hedges = sent_attempts(&harness.run_timers(310, 3900));
    let late = hedges.iter().filter(|(part, _)| *part > id).count();
    assert!(late > 15, "{late} hedged requests for thirty lost parts");
}

/// When all replicas are slow, the first attempt is answered before the hedged request, which then
/// adds load without a benefit.
#[test]
fn hedged_requests_become_few_where_they_lose() {
    let hedges = |first_wins: bool| {
        let mut harness = PolicyHarness::new(
            PolicySettings {
                max_parts_per_call: None,
                ..settings(vec![class(2000, 1.0)])
            },
            24,
        );
        (0..40).for_each(|i| {
            harness.serve_query(i * 20, 100);
        });
        let mut last = 0;
        for round in 1..=12 {
            let at = round * 3000;
            let sent = sent_attempts(&harness.query(at, 0, &[0.1; 10]).1);
            let again = sent_attempts(&harness.run_timers(at + 10, at + 900));
            last = again.len();
            let mut events = Vec::new();
            for (part, replica) in &sent {
                let Some((_, other)) = again.iter().find(|(p, _)| p == part) else {
                    events.push(attempt_ended(*part, 0, *replica, AttemptOutcome::Success));
                    continue;
                };
                let (won, lost) = if first_wins { (0, 1) } else { (1, 0) };
                let by = [*replica, *other];
                events.push(attempt_ended(
                    *part,
                    won,
                    by[won as usize],
                    AttemptOutcome::Success,
                ));
                events.push(attempt_ended(
                    *part,
                    lost,
                    by[lost as usize],
                    AttemptOutcome::Cancelled,
                ));
            }
            harness.handle_at(at + 910, &events);
        }
        last
    };
    assert!(
        hedges(false) > hedges(true),
        "{} and {}",
        hedges(false),
        hedges(true)
    );
}

#[test]
fn no_second_attempt_is_sent_where_hedging_is_not_allowed() {
    let no_hedging = PolicySettings {
        hedging_allowed: false,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut harness = PolicyHarness::new(no_hedging, 3);
    let (_, first) = harness.query(0, 0, &[1.0]);
    assert_eq!(sent_attempts(&first).len(), 1);
    assert!(sent_attempts(&harness.run_timers(10, 6000)).is_empty());
}
