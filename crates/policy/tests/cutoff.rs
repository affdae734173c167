//! Tests of the weight cutoff and its overload signal.

mod support;

use aggregator_policy::api::{Action, AttemptOutcome};
use support::{all_attempts_ended, class, has_log_line, sent_attempts, settings, PolicyHarness};

/// Causes overload with ten queries whose parts all stay in flight until they are late.
fn cause_overload(harness: &mut PolicyHarness, class: u16, from_ms: u64) {
    for offset_ms in 0..10 {
        harness.query(from_ms + offset_ms, class, &[0.6, 0.3, 0.1]);
    }
    harness.run_timers(from_ms + 10, from_ms + 1900);
}

#[test]
fn the_cutoff_rises_under_overload_and_drops_the_lightest_part() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
    let (_, before) = harness.query(0, 1, &[0.6, 0.39, 0.01]);
    assert_eq!(
        sent_attempts(&before).len(),
        3,
        "expected all parts to be sent while the cutoff is zero"
    );
    let overloaded: Vec<Action> = {
        for offset_ms in 0..10 {
            harness.query(10 + offset_ms, 0, &[0.6, 0.3, 0.1]);
        }
        harness.run_timers(20, 1750)
    };
    assert!(has_log_line(&overloaded, "cutoff raised above zero"));
    let (id, after) = harness.query(1760, 1, &[0.6, 0.39, 0.01]);
    let sent: Vec<u64> = sent_attempts(&after)
        .into_iter()
        .map(|(part, _)| part)
        .filter(|part| *part > id)
        .collect();
    assert_eq!(sent, [id + 1, id + 2]);
}

#[test]
fn the_cutoff_spares_minimum_coverage_and_classes_without_partial_answers() {
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
        let sent: Vec<u64> = sent_attempts(&actions)
            .into_iter()
            .map(|(part, _)| part)
            .filter(|part| *part > id)
            .collect();
        assert_eq!(sent, [id + 1, id + 2, id + 3]);
    }
}

#[test]
fn the_cutoff_falls_after_seconds_without_overload() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5)]), 3);
    cause_overload(&mut harness, 0, 0);
    let (_, last_query) = harness.query(1950, 0, &[1.0]);
    assert!(!last_query.is_empty());
    let mut after = Vec::new();
    for second in 2..20 {
        after.extend(harness.fire_timer(second * 1000));
    }
    assert!(has_log_line(&after, "cutoff lowered to zero"));
}

#[test]
fn one_late_part_does_not_raise_the_cutoff() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5)]), 3);
    harness.query(0, 0, &[0.6, 0.3, 0.1]);
    let actions = harness.run_timers(10, 1900);
    assert!(!has_log_line(&actions, "cutoff raised above zero"));
}

/// Causes `late_parts` of thirty parts to be late, which adjusts the cutoff at most once. Returns
/// how many of a hundred light parts are sent after that.
fn sent_after_one_adjustment(late_parts: usize) -> usize {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 0.5), class(90_000, 0.6)]), 3);
    let (_, actions) = harness.query(0, 0, &[1.0 / 30.0; 30]);
    harness.handle_at(
        1500,
        &all_attempts_ended(
            &sent_attempts(&actions)[late_parts..],
            AttemptOutcome::Success,
        ),
    );
    harness.run_timers(1510, 1650);
    let (id, actions) = harness.query(1660, 1, &[0.01; 100]);
    sent_attempts(&actions)
        .iter()
        .filter(|(part, _)| *part > id)
        .count()
}

/// A pause at one replica must not cause all parts that minimum coverage does not need to be
/// dropped.
#[test]
fn a_step_of_the_cutoff_drops_a_quarter_of_the_droppable_parts() {
    assert_eq!(
        sent_after_one_adjustment(3),
        100,
        "expected all parts to be sent without overload"
    );
    let sent = sent_after_one_adjustment(5);
    assert!(
        (80..100).contains(&sent),
        "expected 80 to 99 of 100 parts sent after a sixth of the parts was late, found {sent}"
    );
}

/// One of a hundred aggregators receives a long query every few seconds. If its cutoff rose by one
/// step per second, it would rise only ten seconds after half of the replicas had failed.
#[test]
fn many_late_parts_raise_the_cutoff_to_its_ceiling() {
    let sent = sent_after_one_adjustment(20);
    assert!(
        (60..=62).contains(&sent),
        "expected 60 to 62 of 100 parts sent at a minimum coverage of 0.6, found {sent}"
    );
}

/// An aggregator that has just started has no connections yet, and handshakes may be slow.
/// Unreachable replicas do not indicate overload then, so no light part is dropped.
#[test]
fn unreachable_replicas_before_any_response_do_not_raise_the_cutoff() {
    for has_responded in [false, true] {
        let mut harness =
            PolicyHarness::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
        let mut ms = 0;
        while has_responded && ms < 3000 {
            harness.serve_query(ms, 100);
            ms += 200;
        }
        let mut all_actions = Vec::new();
        for index in 0..12 {
            let (_, actions) = harness.query(ms + index * 10, 0, &[1.0]);
            let (part, replica) = sent_attempts(&actions)[0];
            all_actions.extend(harness.end_attempt(
                ms + index * 10 + 5,
                part,
                0,
                replica,
                AttemptOutcome::Unreachable,
            ));
        }
        assert_eq!(
            has_log_line(&all_actions, "cutoff raised above zero"),
            has_responded
        );
    }
}
