//! Tests of retries: idempotency, the limit on attempts and the retry budget.

mod support;

use aggregator_policy::api::{Action, AttemptOutcome, Idempotency, PolicySettings, RetryBudget};
use support::{
    all_attempts_ended, class, final_actions, sent_attempts, settings, PolicyHarness, MS,
};

#[test]
fn a_non_idempotent_part_that_may_have_been_executed_is_not_repeated() {
    let mut query_class = class(2000, 1.0);
    query_class.idempotency = Idempotency::NonIdempotent;
    let mut harness = PolicyHarness::new(settings(vec![query_class]), 3);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let replica = sent_attempts(&actions)[0].1;
    let retried = harness.end_attempt(10, id + 1, 0, replica, AttemptOutcome::Unreachable);
    assert_eq!(
        sent_attempts(&retried).len(),
        1,
        "expected a retry of a part that was not executed"
    );
    let lost = harness.end_attempt(
        20,
        id + 1,
        1,
        sent_attempts(&retried)[0].1,
        AttemptOutcome::ConnectionLost,
    );
    assert!(sent_attempts(&lost).is_empty());
    assert_eq!(final_actions(&lost), ["failed"]);
}

#[test]
fn a_part_with_an_idempotency_key_is_retried_only_within_its_window() {
    for (lost_at_ms, retries) in [(300, 1), (900, 0)] {
        let mut query_class = class(2000, 1.0);
        query_class.idempotency = Idempotency::IdempotentWithKey;
        query_class.idempotency_window = 500 * MS;
        let mut harness = PolicyHarness::new(
            PolicySettings {
                hedging_allowed: false,
                ..settings(vec![query_class])
            },
            3,
        );
        let (id, actions) = harness.query(0, 0, &[1.0]);
        let after = harness.end_attempt(
            lost_at_ms,
            id + 1,
            0,
            sent_attempts(&actions)[0].1,
            AttemptOutcome::ConnectionLost,
        );
        assert_eq!(sent_attempts(&after).len(), retries);
    }
}

#[test]
fn the_retry_budget_applies_up_to_the_end_of_its_window() {
    let mut one_retry = settings(vec![class(2000, 1.0)]);
    one_retry.retry_budget = Some(RetryBudget {
        minimum: 1.0,
        ratio: 0.0,
        window: 1000 * MS,
    });
    let mut harness = PolicyHarness::new(one_retry, 3);
    let (first, actions) = harness.query(0, 0, &[1.0]);
    let retried = harness.end_attempt(
        10,
        first + 1,
        0,
        sent_attempts(&actions)[0].1,
        AttemptOutcome::Error,
    );
    assert_eq!(sent_attempts(&retried).len(), 1);
    harness.end_attempt(
        15,
        first + 1,
        1,
        sent_attempts(&retried)[0].1,
        AttemptOutcome::Success,
    );
    let (second, actions) = harness.query(20, 0, &[1.0]);
    harness.end_attempt(
        30,
        second + 1,
        0,
        sent_attempts(&actions)[0].1,
        AttemptOutcome::Error,
    );
    let retries_of_second = |actions: &[Action]| {
        sent_attempts(actions)
            .iter()
            .filter(|(part, _)| *part == second + 1)
            .count()
    };
    assert_eq!(retries_of_second(&harness.run_timers(40, 1010)), 0);
    assert_eq!(retries_of_second(&harness.run_timers(1020, 1100)), 1);
}

#[test]
fn a_part_gets_no_more_attempts_than_allowed() {
    let mut harness = PolicyHarness::new(
        PolicySettings {
            max_attempts: Some(2),
            ..settings(vec![class(2000, 1.0)])
        },
        3,
    );
    let (id, mut actions) = harness.query(0, 0, &[1.0]);
    for attempt in 0..2 {
        let replica = sent_attempts(&actions)[0].1;
        actions = harness.end_attempt(
            10 + u64::from(attempt),
            id + 1,
            attempt,
            replica,
            AttemptOutcome::Error,
        );
    }
    assert!(sent_attempts(&actions).is_empty());
    assert_eq!(
        final_actions(&actions),
        ["rejected"],
        "expected an immediate rejection"
    );
}

/// With a small budget, retries of queries that take partial answers must leave enough of it for
/// queries that need every part.
#[test]
fn half_of_the_budget_is_kept_for_classes_without_partial_answers() {
    let mut four_retries = settings(vec![class(2000, 0.5), class(2000, 1.0)]);
    four_retries.retry_budget = Some(RetryBudget {
        minimum: 4.0,
        ratio: 0.0,
        window: 1000 * MS,
    });
    four_retries.max_parts_per_call = None;
    let mut harness = PolicyHarness::new(four_retries, 20);
    let retries: Vec<usize> = [0, 1]
        .map(|class| {
            let (_, actions) = harness.query(100 * u64::from(class), class, &[0.1; 10]);
            let failed = all_attempts_ended(&sent_attempts(&actions), AttemptOutcome::Error);
            sent_attempts(&harness.handle_at(100 * u64::from(class) + 20, &failed)).len()
        })
        .into();
    assert_eq!(retries, [2, 2]);
}
