//! Tests of hedging: when hedged requests are sent, and how many.

mod support;

use aggregator_policy::api::{AttemptOutcome, EndpointUpdateKind, PolicySettings, ReplicaId};
use support::{
    attempt_ended, class, final_actions, has_log_line, ready_replica, sent_attempts, settings,
    PolicyHarness,
};

#[test]
fn an_unresponsive_replica_is_hedged_and_avoided() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 3);
    let (id, actions) = harness.query(0, 0, &[1.0]);
    let unresponsive = sent_attempts(&actions)[0].1;
    let later = harness.run_timers(10, 400);
    let hedges = sent_attempts(&later);
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0].1, unresponsive);
    assert!(has_log_line(&later, "ejected as an outlier"));
    for offset_ms in 0..10 {
        let (_, actions) = harness.query(410 + offset_ms, 0, &[1.0]);
        assert_ne!(sent_attempts(&actions)[0].1, unresponsive);
    }
    let answered = harness.end_attempt(950, id + 1, 0, unresponsive, AttemptOutcome::Success);
    assert_eq!(final_actions(&answered)[0], "complete");
}

#[test]
fn hedging_is_limited_when_all_replicas_are_slow() {
    let mut harness = PolicyHarness::new(settings(vec![class(2000, 1.0)]), 2);
    for index in 0..40 {
        harness.query(index * 5, 0, &[1.0]);
    }
    let hedges = sent_attempts(&harness.run_timers(210, 1900)).len();
    assert!(
        hedges <= 8,
        "expected at most 8 hedged requests for 40 parts, found {hedges}"
    );
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
        "expected a replica with a lost call to be selected"
    );
}

/// A single query has a hundred parts, of which thirty are lost. Hedged requests are sent for the
/// lost parts even when the query and its parts are more than two seconds old and no longer count
/// as recent.
#[test]
fn a_single_long_query_is_hedged_after_it_no_longer_counts_as_recent() {
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
    let hedged_parts = hedges.iter().filter(|(part, _)| *part > id).count();
    assert!(
        hedged_parts > 15,
        "expected more than 15 hedged requests for 30 lost parts, found {hedged_parts}"
    );
}

/// When all replicas are slow, first attempts are answered before their hedged requests, which then
/// add load without any benefit.
#[test]
fn hedged_requests_that_lose_reduce_hedging() {
    let hedges = |is_first_winner: bool| {
        let mut harness = PolicyHarness::new(
            PolicySettings {
                max_parts_per_call: None,
                ..settings(vec![class(2000, 1.0)])
            },
            24,
        );
        (0..40).for_each(|index| {
            harness.serve_query(index * 20, 100);
        });
        let mut hedges_of_last_round = 0;
        for round in 1..=12 {
            let ms = round * 3000;
            let sent = sent_attempts(&harness.query(ms, 0, &[0.1; 10]).1);
            let hedged_requests = sent_attempts(&harness.run_timers(ms + 10, ms + 900));
            hedges_of_last_round = hedged_requests.len();
            let mut events = Vec::new();
            for (part, replica) in &sent {
                let Some((_, other)) = hedged_requests.iter().find(|(id, _)| id == part) else {
                    events.push(attempt_ended(*part, 0, *replica, AttemptOutcome::Success));
                    continue;
                };
                let (winner, loser) = if is_first_winner { (0, 1) } else { (1, 0) };
                let replicas = [*replica, *other];
                events.push(attempt_ended(
                    *part,
                    winner,
                    replicas[winner as usize],
                    AttemptOutcome::Success,
                ));
                events.push(attempt_ended(
                    *part,
                    loser,
                    replicas[loser as usize],
                    AttemptOutcome::Cancelled,
                ));
            }
            harness.handle_at(ms + 910, &events);
        }
        hedges_of_last_round
    };
    assert!(
        hedges(false) > hedges(true),
        "expected more hedged requests when they win than when they lose, found {} and {}",
        hedges(false),
        hedges(true)
    );
}

#[test]
fn no_second_attempt_is_sent_if_hedging_is_not_allowed() {
    let no_hedging = PolicySettings {
        hedging_allowed: false,
        ..settings(vec![class(2000, 1.0)])
    };
    let mut harness = PolicyHarness::new(no_hedging, 3);
    let (_, first) = harness.query(0, 0, &[1.0]);
    assert_eq!(sent_attempts(&first).len(), 1);
    assert!(sent_attempts(&harness.run_timers(10, 6000)).is_empty());
}
