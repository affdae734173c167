//! Tests of admission: rejections under overload, permits, and clients with short timeouts.

mod support;

use aggregator_policy::api::{
    Action, AttemptOutcome, EndpointUpdateKind, Event, PolicySettings, QueryClass, ReplicaEntry,
    ReplicaId,
};
use support::{
    all_attempts_ended, attempt_ended, class, final_actions, ready_replica, sent_attempts,
    settings, settings_with_marked_retries, PolicyHarness, MS, START,
};

#[test]
fn a_query_that_cannot_meet_its_objective_is_rejected_with_retry_after() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 1);
    harness.serve_query(0, 300);
    for offset_ms in 0..20 {
        harness.query(400 + offset_ms, 0, &[1.0]);
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
    let first = harness.query(0, 0, &[1.0]).0;
    harness.end_attempt(300, first + 1, 0, ReplicaId(1), AttemptOutcome::Success);
    for offset_ms in 0..20 {
        harness.query(400 + offset_ms, 0, &[1.0]);
    }
    let (id, actions) = harness.query(450, 0, &[0.4, 0.6]);
    assert_eq!(sent_attempts(&actions), [(id + 2, ReplicaId(2))]);
}

#[test]
fn an_expired_retry_is_rejected_if_late_answers_have_no_value() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    for ms in 0..5 {
        harness.query_with_timeout(ms, 0, &[1.0], 6000 * MS);
    }
    let (_, late) = harness.query_with_timeout(10, 0, &[1.0], 3000 * MS);
    assert_eq!(final_actions(&late), ["rejected"]);
    let (_, early) = harness.query_with_timeout(20, 0, &[1.0], 5000 * MS);
    assert_eq!(sent_attempts(&early).len(), 1);
}

#[test]
fn a_retry_with_a_longer_timeout_does_not_make_a_first_attempt_a_retry() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    harness.send_query(0, 0, &[1.0], 5000 * MS, false);
    harness.send_query(1, 0, &[1.0], 5900 * MS, true);
    harness.send_query(2, 0, &[1.0], 5000 * MS, false);
    let answered = harness.run_timers(10, 1850);
    assert!(
        final_actions(&answered).is_empty(),
        "expected no query to end before its objective"
    );
}

/// Most clients have short timeouts and retry at once. First attempts of other clients, with longer
/// or even shorter timeouts, must not count as retries because of that.
#[test]
fn short_timeouts_of_some_clients_do_not_affect_first_attempts() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    for index in 0..10 {
        harness.query_with_timeout(index * 10, 0, &[1.0], 800 * MS);
    }
    let (_, long) = harness.query_with_timeout(200, 0, &[1.0], 6000 * MS);
    assert!(!final_actions(&long).contains(&"rejected"));
    let (_, short) = harness.query_with_timeout(210, 0, &[1.0], 700 * MS);
    assert!(
        !final_actions(&short).contains(&"rejected"),
        "expected a first attempt to have its whole objective left"
    );
}

/// Clients whose timeout is shorter than the mean latency retry at once. Work on their queries
/// would only delay other queries.
#[test]
fn a_client_with_less_time_than_the_mean_latency_is_rejected() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    for index in 0..20 {
        harness.serve_query(index * 500, 450);
    }
    let (_, short) = harness.query_with_timeout(10_000, 0, &[1.0], 300 * MS);
    assert_eq!(final_actions(&short), ["rejected"]);
    let (_, long) = harness.query_with_timeout(10_010, 0, &[1.0], 600 * MS);
    assert_eq!(sent_attempts(&long).len(), 1);
}

/// With few queries, an overload that was measured seconds ago must not cause rejections now.
#[test]
fn a_past_overload_causes_no_rejection() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 1);
    harness.serve_query(0, 1500);
    let (_, soon_after) = harness.query(1510, 0, &[1.0]);
    assert_eq!(final_actions(&soon_after), ["rejected"]);
    let (_, later) = harness.query(6000, 0, &[1.0]);
    assert_eq!(sent_attempts(&later).len(), 1);
}

/// A retry whose client timeout ends before the objective has no more time than the attempt that
/// failed.
#[test]
fn a_retry_is_rejected_only_if_its_timeout_is_short() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    let (_, first) = harness.send_query(0, 0, &[1.0], 900 * MS, false);
    assert_eq!(sent_attempts(&first).len(), 1);
    let (_, short) = harness.send_query(910, 0, &[1.0], 900 * MS, true);
    assert!(sent_attempts(&short).is_empty() && final_actions(&short).contains(&"rejected"));
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 3);
    harness.send_query(0, 0, &[1.0], 2500 * MS, false);
    let (_, long) = harness.send_query(910, 0, &[1.0], 2500 * MS, true);
    assert!(!final_actions(&long).contains(&"rejected"));
}

/// Sends twenty queries per second with three parts each. Each attempt ends after 10 ms: an attempt
/// at the first part of a query with `first_part_outcome`, and other attempts with success. Returns
/// the number of queries admitted in each second.
fn admitted_by_second(
    harness: &mut PolicyHarness,
    seconds: std::ops::Range<u64>,
    first_part_outcome: AttemptOutcome,
) -> Vec<usize> {
    let mut admitted = Vec::new();
    for second in seconds {
        let mut admitted_in_second = 0;
        for index in 0..20 {
            let ms = second * 1000 + index * 50;
            let (id, mut actions) = harness.query(ms, 0, &[0.4, 0.3, 0.3]);
            admitted_in_second += usize::from(!sent_attempts(&actions).is_empty());
            let mut attempt_numbers = std::collections::BTreeMap::new();
            for step in 1..5 {
                let end = |(part, replica): (u64, ReplicaId)| {
                    let attempt = attempt_numbers
                        .entry(part)
                        .and_modify(|number| *number += 1)
                        .or_insert(0);
                    attempt_ended(
                        part,
                        *attempt,
                        replica,
                        if part == id + 1 {
                            first_part_outcome
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
        admitted.push(admitted_in_second);
    }
    admitted
}

/// If a query loses one part to saturated replicas, the work on its other parts is wasted. Without
/// a limit on admission, queries would prevent each other from being answered during an overload.
#[test]
fn queries_lost_to_saturated_replicas_limit_admission_until_some_succeed() {
    let two_attempts = PolicySettings {
        max_attempts: Some(2),
        ..settings(vec![class(400, 1.0)])
    };
    let mut harness = PolicyHarness::new(two_attempts.clone(), 3);
    assert_eq!(
        admitted_by_second(&mut harness, 0..3, AttemptOutcome::Success),
        [20; 3]
    );
    let overloaded = admitted_by_second(&mut harness, 3..15, AttemptOutcome::Rejected);
    assert!(
        overloaded[1..].iter().sum::<usize>() <= 12,
        "expected at most 12 queries admitted after the first second: {overloaded:?}"
    );
    assert!(
        overloaded
            .windows(4)
            .all(|four_seconds| four_seconds.iter().sum::<usize>() > 0),
        "expected some queries to be admitted in any 4 s: {overloaded:?}"
    );
    let after = admitted_by_second(&mut harness, 15..25, AttemptOutcome::Success);
    assert_eq!(
        after[9], 20,
        "expected no limit 10 s after the overload: {after:?}"
    );
    // A query lost to an unreachable replica does not indicate load on the others.
    let mut harness = PolicyHarness::new(two_attempts, 3);
    let unreachable = admitted_by_second(&mut harness, 0..5, AttemptOutcome::Unreachable);
    assert!(
        unreachable.iter().sum::<usize>() > 50,
        "expected more than 50 queries admitted: {unreachable:?}"
    );
}

/// A part waits at a saturated replica until its attempt times out, even if the attempt is
/// cancelled. While permits limit the class, attempts time out at the objective.
#[test]
fn no_part_waits_beyond_the_objective_while_permits_limit_its_class() {
    let with_late_value = QueryClass {
        late_value: 0.3,
        ..class(400, 1.0)
    };
    let mut harness = PolicyHarness::new(
        PolicySettings {
            max_attempts: Some(2),
            ..settings(vec![with_late_value])
        },
        3,
    );
    let first_timeout = |actions: &[Action]| {
        actions.iter().find_map(|action| {
            if let Action::SendAttempt { times_out_at, .. } = action {
                Some(*times_out_at)
            } else {
                None
            }
        })
    };
    let (_, actions) = harness.query(0, 0, &[0.4, 0.3, 0.3]);
    assert_eq!(
        first_timeout(&actions),
        Some(START + 6000 * MS),
        "expected a timeout at the end of the client timeout"
    );
    harness.handle_at(
        10,
        &all_attempts_ended(&sent_attempts(&actions), AttemptOutcome::Success),
    );
    admitted_by_second(&mut harness, 1..3, AttemptOutcome::Rejected);
    let mut queries = (3000..9000)
        .step_by(50)
        .map(|ms| (ms, harness.query(ms, 0, &[0.4, 0.3, 0.3]).1));
    let (ms, actions) = queries
        .find(|(_, actions)| !sent_attempts(actions).is_empty())
        .unwrap();
    assert_eq!(
        first_timeout(&actions),
        Some(START + (ms + 400) * MS),
        "expected a timeout at the latency objective"
    );
}

/// The time left is compared with the mean latency, so a few slow answers cause no rejection.
#[test]
fn a_query_with_time_for_a_mean_answer_is_not_rejected() {
    let mut harness = PolicyHarness::new(settings_with_marked_retries(), 4);
    for index in 0..60 {
        let latency_ms = if index % 2 == 0 { 50 } else { 150 };
        harness.serve_query(index * 200, latency_ms);
    }
    let (_, actions) = harness.query_with_timeout(13_000, 0, &[1.0], 180 * MS);
    assert_eq!(
        sent_attempts(&actions).len(),
        1,
        "expected one attempt: {actions:?}"
    );
}
