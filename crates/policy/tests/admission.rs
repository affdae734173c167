//! Admission: rejections under overload, the permits of a class, and clients with short timeouts.

mod support;

use aggregator_policy::api::*;
use support::{
    all_attempts_ended, attempt_ended, class, final_actions, ready_replica, sent_attempts,
    settings, settings_with_marked_retries, PolicyHarness, MS, START,
};

#[test]
fn a_query_that_cannot_meet_its_objective_is_rejected_at_once_with_retry_after() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 1);
    harness.serve_query(0, 300);
    for i in 0..20 {
        harness.query(400 + i, 0, &[1.0]);
    }
    let (query, actions) = harness.query(450, 0, &[1.0]);
    assert!(actions.contains(&Action::Reject {
        query,
        retry_after: Some(1000 * MS)
    }));
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn parts_of_an_overloaded_shard_are_dropped_where_minimum_coverage_allows() {
    let two_cells = PolicySettings {
        placement_cells: 2,
        ..settings(vec![class(2000, 0.5)])
    };
    let mut harness = PolicyHarness::new(two_cells, 0);
    harness.update_endpoints(
        EndpointUpdateKind::Snapshot,
        vec![
            ready_replica(1),
            ReplicaEntry {
                cell: 1,
                ..ready_replica(2)
            },
        ],
    );
    let hot = harness.query(0, 0, &[1.0]).0;
    harness.end_attempt(300, hot + 1, 0, ReplicaId(1), AttemptOutcome::Success);
    for i in 0..20 {
        harness.query(400 + i, 0, &[1.0]);
    }
    let (id, actions) = harness.query(450, 0, &[0.4, 0.6]);
    assert_eq!(sent_attempts(&actions), [(id + 2, ReplicaId(2))]);
}

#[test]
fn a_retry_whose_objective_has_passed_is_rejected_if_late_answers_earn_nothing() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    for i in 0..5 {
        harness.query_with_timeout(i, 0, &[1.0], 6000 * MS);
    }
    let (_, late) = harness.query_with_timeout(10, 0, &[1.0], 3000 * MS);
    assert_eq!(final_actions(&late), ["rejected"]);
    let (_, early) = harness.query_with_timeout(20, 0, &[1.0], 5000 * MS);
    assert_eq!(sent_attempts(&early).len(), 1);
}

#[test]
fn a_first_try_is_not_taken_for_a_retry_when_a_retry_has_a_longer_timeout() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    harness.send_query(0, 0, &[1.0], 5000 * MS, false);
    harness.send_query(1, 0, &[1.0], 5900 * MS, true);
    harness.send_query(2, 0, &[1.0], 5000 * MS, false);
    let answered = harness.run_timers(10, 1850);
    assert!(
        final_actions(&answered).is_empty(),
        "none has been given up before its objective"
    );
}

/// One tenant's clients give up early and repeat at once: another tenant's queries are no late
/// repeats.
#[test]
fn one_tenants_short_timeouts_do_not_affect_anothers() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    for i in 0..10 {
        harness.query_with_timeout(i * 10, 0, &[1.0], 800 * MS);
    }
    let (_, sound) = harness.query_with_timeout(200, 0, &[1.0], 6000 * MS);
    assert!(!final_actions(&sound).contains(&"rejected"));
    let (_, short) = harness.query_with_timeout(210, 0, &[1.0], 700 * MS);
    assert!(
        !final_actions(&short).contains(&"rejected"),
        "a first try is never spent"
    );
}

/// Clients that leave before a usual part is back and repeat at once: their work would only delay
/// the others.
#[test]
fn a_client_with_less_time_than_a_usual_part_takes_is_rejected() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    for i in 0..20 {
        harness.serve_query(i * 500, 450);
    }
    let (_, short) = harness.query_with_timeout(10_000, 0, &[1.0], 300 * MS);
    assert_eq!(final_actions(&short), ["rejected"]);
    let (_, patient) = harness.query_with_timeout(10_010, 0, &[1.0], 600 * MS);
    assert_eq!(sent_attempts(&patient).len(), 1);
}

/// Rare queries: a jam seen seconds ago must not refuse what comes now.
#[test]
fn an_overload_that_is_long_past_rejects_nothing() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 1);
    harness.serve_query(0, 1500);
    let (_, at_once) = harness.query(1510, 0, &[1.0]);
    assert_eq!(final_actions(&at_once), ["rejected"]);
    let (_, later) = harness.query(6000, 0, &[1.0]);
    assert_eq!(sent_attempts(&later).len(), 1);
}

/// A storm of repeats that give up before the objective: they have no more time than the try that
/// failed.
#[test]
fn a_retry_with_a_short_timeout_is_rejected_and_one_with_a_long_timeout_is_not() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    let (_, first) = harness.send_query(0, 0, &[1.0], 900 * MS, false);
    assert_eq!(sent_attempts(&first).len(), 1);
    let (_, short) = harness.send_query(910, 0, &[1.0], 900 * MS, true);
    assert!(sent_attempts(&short).is_empty() && final_actions(&short).contains(&"rejected"));
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    harness.send_query(0, 0, &[1.0], 2500 * MS, false);
    let (_, patient) = harness.send_query(910, 0, &[1.0], 2500 * MS, true);
    assert!(!final_actions(&patient).contains(&"rejected"));
}

/// Twenty queries a second of three parts, each ended 20 ms after it was sent, the first part of a
/// query so: how many of them were admitted, by second.
fn admitted_by_second(
    harness: &mut PolicyHarness,
    seconds: std::ops::Range<u64>,
    first: AttemptOutcome,
) -> Vec<usize> {
    let mut admitted = Vec::new();
    for second in seconds {
        let mut count = 0;
        for i in 0..20 {
            let ms = second * 1000 + i * 50;
            let (id, mut actions) = harness.query(ms, 0, &[0.4, 0.3, 0.3]);
            count += usize::from(!sent_attempts(&actions).is_empty());
            let mut attempts = std::collections::BTreeMap::new();
            for step in 1..5 {
                let end = |(part, replica): (u64, ReplicaId)| {
                    let attempt = attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                    attempt_ended(
                        part,
                        *attempt,
                        replica,
                        if part == id + 1 {
                            first
                        } else {
                            AttemptOutcome::Success
                        },
                    )
                };
                let ends: Vec<Event> = sent_attempts(&actions).into_iter().map(end).collect();
                actions = harness.handle_at(ms + step * 10, &ends);
            }
            harness.handle_at(ms + 49, &[Event::ClientDisconnected { id }]);
        }
        admitted.push(count);
    }
    admitted
}

/// A query that loses one part to full replicas has the work on all its others done for nothing:
/// admitted as before, the queries of an overload keep each other from being answered.
#[test]
fn after_queries_lost_to_full_replicas_fewer_are_admitted_until_some_are_answered() {
    let quick = PolicySettings {
        max_attempts: Some(2),
        ..settings(vec![class(400, 1.0)])
    };
    let mut harness = PolicyHarness::new(quick.clone(), 3);
    assert_eq!(
        admitted_by_second(&mut harness, 0..3, AttemptOutcome::Success),
        [20; 3]
    );
    let full = admitted_by_second(&mut harness, 3..15, AttemptOutcome::Rejected);
    assert!(full[1..].iter().sum::<usize>() <= 12, "{full:?}");
    assert!(
        full.windows(4).all(|four| four.iter().sum::<usize>() > 0),
        "nobody is rejected throughout: {full:?}"
    );
    let after = admitted_by_second(&mut harness, 15..25, AttemptOutcome::Success);
    assert_eq!(after[9], 20, "{after:?}");
    // Lost to a dead replica, it says nothing of the load on the others.
    let mut harness = PolicyHarness::new(quick, 3);
    let dead = admitted_by_second(&mut harness, 0..5, AttemptOutcome::Unreachable);
    assert!(dead.iter().sum::<usize>() > 50, "{dead:?}");
}

/// Cancelled or not, a part waits at a full replica until its time has passed: in an overload that
/// is the objective's.
#[test]
fn while_permits_are_short_nothing_is_waited_for_past_the_objective() {
    let late = QueryClass {
        late_value: 0.3,
        ..class(400, 1.0)
    };
    let mut harness = PolicyHarness::new(
        PolicySettings {
            max_attempts: Some(2),
            ..settings(vec![late])
        },
        3,
    );
    let until = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::SendAttempt { until, .. } = a {
                Some(*until)
            } else {
                None
            }
        })
    };
    let (_, actions) = harness.query(0, 0, &[0.4, 0.3, 0.3]);
    assert_eq!(
        until(&actions),
        Some(START + 6000 * MS),
        "its client's time"
    );
    harness.handle_at(
        10,
        &all_attempts_ended(&sent_attempts(&actions), AttemptOutcome::Success),
    );
    admitted_by_second(&mut harness, 1..3, AttemptOutcome::Rejected);
    let mut polled = (3000..9000)
        .step_by(50)
        .map(|ms| (ms, harness.query(ms, 0, &[0.4, 0.3, 0.3]).1));
    let (ms, actions) = polled
        .find(|(_, actions)| !sent_attempts(actions).is_empty())
        .unwrap();
    assert_eq!(until(&actions), Some(START + (ms + 400) * MS), "the aim");
}

/// What answers usually take is their mean: a query with time for that is not rejected for a few
/// slow ones.
#[test]
fn a_query_with_time_for_an_average_answer_is_not_rejected() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 4);
    for i in 0..60 {
        harness.serve_query(i * 200, if i % 2 == 0 { 50 } else { 150 });
    }
    let (_, actions) = harness.query_with_timeout(13_000, 0, &[1.0], 180 * MS);
    assert_eq!(sent_attempts(&actions).len(), 1, "{actions:?}");
}
