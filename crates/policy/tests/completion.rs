//! Tests of completion: each query ends once, answers have minimum coverage, and queries that
//! cannot be answered are rejected at once.

mod support;

use aggregator_policy::api::{
    Action, AttemptEnded, AttemptOutcome, EndpointUpdateKind, Event, PartReceived, PolicySettings,
    ReplicaId, RetryBudget,
};
use support::{
    all_attempts_ended, class, final_actions, sent_attempts, settings, PolicyHarness, MS, START,
};

#[test]
fn the_same_events_cause_the_same_actions() {
    let run_scenario = || {
        let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5)]), 5);
        let mut actions = Vec::new();
        for index in 0..20 {
            actions.extend(harness.query(index * 30, 0, &[0.4, 0.3, 0.3]).1);
        }
        actions.extend(harness.run_timers(600, 2500));
        actions
    };
    assert_eq!(run_scenario(), run_scenario());
}

#[test]
fn every_query_ends_once_and_before_the_deadline() {
    for late_value in [0.0, 0.3] {
        let mut query_class = class(2000, 1.0);
        query_class.late_value = late_value;
        let mut harness = PolicyHarness::new(settings(vec![query_class]), 3);
        harness.query(0, 0, &[0.5, 0.5]);
        let actions = harness.run_timers(0, 7000);
        assert_eq!(final_actions(&actions), ["rejected"]);
        let (_, last) = harness.query_with_timeout(7000, 0, &[1.0], 1);
        assert_eq!(
            final_actions(&last).len(),
            1,
            "expected a query with a client timeout of 1 ns to end once"
        );
    }
}

#[test]
fn nothing_is_sent_for_a_query_whose_client_has_disconnected() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let (part, replica) = sent_attempts(&actions)[0];
    let lost = Event::AttemptEnded(AttemptEnded {
        part,
        attempt: 0,
        replica,
        outcome: AttemptOutcome::ConnectionLost,
        report: vec![],
    });
    let after = harness.handle_at(50, &[lost, Event::ClientDisconnected { id }]);
    assert!(sent_attempts(&after).is_empty() && final_actions(&after).is_empty());
    let (id, _) = harness.query(60, 0, &[1.0]);
    let disconnected = harness.handle_at(100, &[Event::ClientDisconnected { id }]);
    assert!(
        disconnected.contains(&Action::CancelAttempt {
            part: id + 1,
            attempt: 0
        }),
        "expected the attempt to be cancelled after the disconnect"
    );
}

#[test]
fn a_part_counts_once_and_no_answer_is_below_minimum_coverage() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.6)]), 3);
    let (id, actions) = harness.query(0, 0, &[0.5, 0.5]);
    let replica = sent_attempts(&actions)[0].1;
    harness.end_attempt(100, id + 1, 0, replica, AttemptOutcome::Success);
    let repeated = harness.end_attempt(110, id + 1, 0, replica, AttemptOutcome::Success);
    assert!(final_actions(&repeated).is_empty());
    assert_eq!(final_actions(&harness.run_timers(120, 6000)), ["rejected"]);
}

#[test]
fn a_partial_answer_is_sent_just_before_the_latency_objective() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.6)]), 3);
    let (id, actions) = harness.query(0, 0, &[0.7, 0.3]);
    harness.end_attempt(
        100,
        id + 1,
        0,
        sent_attempts(&actions)[0].1,
        AttemptOutcome::Success,
    );
    assert!(final_actions(&harness.run_timers(110, 1900)).is_empty());
    assert_eq!(final_actions(&harness.run_timers(1910, 1995)), ["partial"]);
}

#[test]
fn a_shutdown_ends_open_queries_in_time_with_the_results_so_far() {
    const REQUESTED_MS: u64 = 200;
    const ANSWER_BY_MS: u64 = 1500;
    for (minimum_coverage, expected) in [(0.6, "partial"), (1.0, "rejected")] {
        let mut harness = PolicyHarness::new(settings(vec![class(2000, minimum_coverage)]), 3);
        let (id, actions) = harness.query(0, 0, &[0.7, 0.3]);
        let replica = sent_attempts(&actions)[0].1;
        harness.end_attempt(100, id + 1, 0, replica, AttemptOutcome::Success);
        let answer_by = START + ANSWER_BY_MS * MS;
        harness.handle_at(REQUESTED_MS, &[Event::ShutdownRequested { answer_by }]);
        let ended = harness.run_timers(REQUESTED_MS, ANSWER_BY_MS - 1);
        assert_eq!(final_actions(&ended), [expected]);
    }
}

#[test]
fn a_complete_answer_is_sent_at_once_and_other_attempts_are_cancelled() {
    let mut query_class = class(2000, 1.0);
    query_class.completeness_threshold = 0.5;
    query_class.minimum_coverage = 0.5;
    let mut harness = PolicyHarness::new(settings(vec![query_class]), 3);
    let (id, actions) = harness.query(0, 0, &[0.5, 0.5]);
    let answered = harness.end_attempt(
        100,
        id + 1,
        0,
        sent_attempts(&actions)[0].1,
        AttemptOutcome::Success,
    );
    assert_eq!(final_actions(&answered), ["complete"]);
    assert!(answered.contains(&Action::CancelAttempt {
        part: id + 2,
        attempt: 0
    }));
}

#[test]
fn the_second_step_is_complete_only_if_the_first_was() {
    for (answered_parts, expected) in [(2, "complete"), (1, "partial")] {
        let mut query_class = class(2000, 0.4);
        query_class.second_step_parts = 1;
        let mut harness = PolicyHarness::new(settings(vec![query_class]), 3);
        let (id, actions) = harness.query(0, 0, &[0.5, 0.5]);
        let replica = sent_attempts(&actions)[0].1;
        for part in 1..=answered_parts {
            harness.end_attempt(100, id + part, 0, replica, AttemptOutcome::Success);
        }
        let end = harness.run_timers(110, 1000);
        assert!(
            answered_parts == 2 || final_actions(&end) == ["partial"],
            "expected a partial answer to the first step halfway to the objective"
        );
        let second = harness.handle_at(
            1010,
            &[Event::PartReceived(PartReceived {
                id: id + 50,
                group: 1,
                shard: 0,
                weight: 1.0,
            })],
        );
        let (part, replica) = sent_attempts(&second)[0];
        assert_eq!(
            final_actions(&harness.end_attempt(1100, part, 0, replica, AttemptOutcome::Success)),
            [expected]
        );
    }
}

#[test]
fn events_with_unknown_identifiers_have_no_effect() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5)]), 2);
    harness.end_attempt(0, 9, 3, ReplicaId(77), AttemptOutcome::Success);
    harness.handle_at(
        1,
        &[
            Event::ClientDisconnected { id: 5 },
            Event::TimerFired { token: 9 },
        ],
    );
    harness.handle_at(
        2,
        &[Event::PartReceived(PartReceived {
            id: 3,
            group: 99,
            shard: 0,
            weight: 1.0,
        })],
    );
    let (_, actions) = harness.query(3, 0, &[f64::NAN, -1.0, 1.0]);
    assert_eq!(sent_attempts(&actions).len(), 3);
    let (_, unknown_class) = harness.query(4, 9, &[1.0]);
    assert!(sent_attempts(&unknown_class).is_empty());
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]);
    assert_eq!(
        final_actions(&harness.query(5, 0, &[1.0]).1),
        ["rejected"],
        "expected a rejection without a replica that holds the shard"
    );
    assert_eq!(final_actions(&harness.run_timers(10, 6000)).len(), 1);
}

/// A query of death crashes each replica that executes one of its parts. With retries, it would
/// crash the whole fleet.
#[test]
fn a_query_of_death_is_not_retried() {
    let mut harness = PolicyHarness::new(
        PolicySettings {
            max_parts_per_call: None,
            ..settings(vec![class(2000, 1.0)])
        },
        12,
    );
    let (_, actions) = harness.query(0, 0, &[0.25; 4]);
    let sent = sent_attempts(&actions);
    let connections_lost = all_attempts_ended(&sent, AttemptOutcome::ConnectionLost);
    let last = harness.handle_at(10, &connections_lost);
    assert!(sent_attempts(&last).is_empty(), "expected no retry");
    assert_eq!(
        final_actions(&last),
        ["rejected"],
        "expected an immediate rejection"
    );
}

#[test]
fn a_query_sent_to_failing_replicas_by_chance_is_retried() {
    let mut harness = PolicyHarness::new(
        PolicySettings {
            max_parts_per_call: None,
            ..settings(vec![class(2000, 1.0)])
        },
        12,
    );
    let (_, actions) = harness.query(0, 0, &[0.2; 5]);
    let sent = sent_attempts(&actions);
    let first = harness.handle_at(
        10,
        &all_attempts_ended(&sent[..4], AttemptOutcome::ConnectionLost),
    );
    assert!(
        sent_attempts(&first).is_empty() && final_actions(&first).is_empty(),
        "expected neither a retry nor an end while a part may still be answered"
    );
    let answered = harness.handle_at(
        150,
        &all_attempts_ended(&sent[4..], AttemptOutcome::Success),
    );
    assert_eq!(
        sent_attempts(&answered).len(),
        4,
        "expected retries of all failed parts once another part is answered"
    );
}

/// One part can no longer be answered, so the minimum coverage of 1 cannot be reached, although
/// another part is still in flight.
#[test]
fn a_query_that_cannot_reach_its_minimum_is_rejected_at_once() {
    let one_attempt = PolicySettings {
        max_attempts: Some(1),
        ..settings(vec![class(2000, 1.0)])
    };
    let mut harness = PolicyHarness::new(one_attempt, 4);
    let (id, actions) = harness.query(0, 0, &[0.5, 0.5]);
    let after = harness.end_attempt(
        20,
        id + 1,
        0,
        sent_attempts(&actions)[0].1,
        AttemptOutcome::Unreachable,
    );
    assert_eq!(final_actions(&after), ["rejected"]);
}

/// No retry can be sent if the retry budget is used up until the objective, or if no replica holds
/// the shard. The query must then be rejected at once instead of staying open until its objective.
#[test]
fn a_query_whose_retry_cannot_be_sent_is_rejected_at_once() {
    let no_retries = RetryBudget {
        minimum: 0.0,
        ratio: 0.0,
        window: 10_000 * MS,
    };
    let mut harness = PolicyHarness::new(
        PolicySettings {
            retry_budget: Some(no_retries),
            ..settings(vec![class(2000, 1.0)])
        },
        4,
    );
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let after = harness.end_attempt(
        20,
        id + 1,
        0,
        sent_attempts(&actions)[0].1,
        AttemptOutcome::Unreachable,
    );
    assert_eq!(
        final_actions(&after),
        ["rejected"],
        "expected a rejection without retry budget"
    );
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 1);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]);
    let after = harness.end_attempt(
        20,
        id + 1,
        0,
        sent_attempts(&actions)[0].1,
        AttemptOutcome::Unreachable,
    );
    assert_eq!(
        final_actions(&after),
        ["rejected"],
        "expected a rejection without a replica that holds the shard"
    );
}
