//! The weight cutoff and its overload signal.

mod support;

use aggregator_policy::api::{Action, AttemptOutcome};
use support::{all_attempts_ended, class, has_log_line, sent_attempts, settings, PolicyHarness};

/// Causes overload: ten queries whose parts all stay in flight until they are late.
fn cause_overload(harness: &mut PolicyHarness, class: u16, from: u64) {
    for i in 0..10 {
        harness.query(from + i, class, &[0.6, 0.3, 0.1]);
    }
    harness.run_timers(from + 10, from + 1900);
}

#[test]
fn cutoff_climbs_under_overload_and_drops_the_lightest_part() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
    let (_, before) = harness.query(0, 1, &[0.6, 0.39, 0.01]);
    assert_eq!(sent_attempts(&before).len(), 3, "the cutoff is zero");
    let overloaded: Vec<Action> = {
        for i in 0..10 {
            harness.query(10 + i, 0, &[0.6, 0.3, 0.1]);
        }
        harness.run_timers(20, 1750)
    };
    assert!(has_log_line(&overloaded, "cutoff off zero"));
    let (id, after) = harness.query(1760, 1, &[0.6, 0.39, 0.01]);
    let own: Vec<u64> = sent_attempts(&after)
        .into_iter()
        .map(|(part, _)| part)
        .filter(|p| *p > id)
        .collect();
    assert_eq!(own, [id + 1, id + 2]);
}

#[test]
fn cutoff_keeps_minimum_coverage_and_classes_without_partial_answers() {
    let mut harness = PolicyHarness::new(
        settings(vec![
            class(2000, 0.5),
            class(90_000, 0.995),
            class(90_000, 1.0),
        ]),
        3,
    );
    cause_overload(&mut harness, 0, 0);
    for class in [1, 2] {
        let (id, actions) = harness.query(1900 + u64::from(class) * 10, class, &[0.6, 0.39, 0.01]);
        let own: Vec<u64> = sent_attempts(&actions)
            .into_iter()
            .map(|(part, _)| part)
            .filter(|p| *p > id)
            .collect();
        assert_eq!(own, [id + 1, id + 2, id + 3]);
    }
}

#[test]
fn cutoff_falls_after_seconds_without_overload() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5)]), 3);
    cause_overload(&mut harness, 0, 0);
    let (_, keep_alive) = harness.query(1950, 0, &[1.0]);
    assert!(!keep_alive.is_empty());
    let mut after = Vec::new();
    for t in 2..20 {
        after.extend(harness.fire_timer(t * 1000));
    }
    assert!(has_log_line(&after, "cutoff back at zero"));
}

#[test]
fn one_late_part_is_no_overload() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5)]), 3);
    harness.query(0, 0, &[0.6, 0.3, 0.1]);
    let actions = harness.run_timers(10, 1900);
    assert!(!has_log_line(&actions, "cutoff off zero"));
}

/// Of thirty parts, `late` are late. Returns how many of a hundred light parts are sent after the
/// cutoff has moved once.
fn sent_after_one_move(late: usize) -> usize {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5), class(90_000, 0.6)]), 3);
    let (_, actions) = harness.query(0, 0, &[1.0 / 30.0; 30]);
    harness.handle_at(
        1500,
        &all_attempts_ended(&sent_attempts(&actions)[late..], AttemptOutcome::Success),
    );
    harness.run_timers(1510, 1650);
    let (id, actions) = harness.query(1660, 1, &[0.01; 100]);
    sent_attempts(&actions)
        .iter()
        .filter(|(part, _)| *part > id)
        .count()
}

/// A pause at one replica must not drop all parts that minimum coverage does not need.
#[test]
fn a_step_of_the_cutoff_drops_a_quarter_of_the_droppable_parts() {
    assert_eq!(sent_after_one_move(3), 100, "no overload");
    let sent = sent_after_one_move(5);
    assert!(
        (80..100).contains(&sent),
        "{sent} of 100 parts sent after a sixth of the parts was late"
    );
}

/// One aggregator of a hundred receives a long query every few seconds. At one step a second, its
/// cutoff rose only ten seconds after half of the replicas had failed.
#[test]
fn many_late_parts_move_the_cutoff_to_its_ceiling() {
    let sent = sent_after_one_move(20);
    assert!(
        (60..=62).contains(&sent),
        "{sent} of 100 parts sent, and 60 is the minimum coverage"
    );
}

/// Slow handshakes: an aggregator that has just started has no connections yet. That is no
/// overload, and no light part is dropped.
#[test]
fn failed_connections_before_any_response_are_no_overload() {
    for has_responded in [false, true] {
        let mut harness =
            PolicyHarness::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
        let mut at = 0;
        while has_responded && at < 3000 {
            harness.serve_query(at, 100);
            at += 200;
        }
        let mut seen = Vec::new();
        for i in 0..12 {
            let (_, actions) = harness.query(at + i * 10, 0, &[1.0]);
            let (part, replica) = sent_attempts(&actions)[0];
            seen.extend(harness.end_attempt(
                at + i * 10 + 5,
                part,
                0,
                replica,
                AttemptOutcome::Unreachable,
            ));
        }
        assert_eq!(has_log_line(&seen, "cutoff off zero"), has_responded);
    }
}
