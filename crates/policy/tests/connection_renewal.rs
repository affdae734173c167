//! Renewal of connections that were idle for long.

mod support;

use aggregator_policy::api::{Action, AttemptOutcome, PolicySettings};
use support::{class, sent_attempts, settings, PolicyHarness, MS};

/// A device on the path drops unused connections without notice: an attempt on one is lost, though
/// the replica is healthy. Each round is a query whose attempt on an unused connection is lost.
/// Returns in which rounds connections are renewed.
fn idle_connections_break(rounds: u64, renewed_break: bool) -> Vec<bool> {
    let mut harness = PolicyHarness::new(
        PolicySettings {
            idle_timeout: 15_000 * MS,
            ..settings(vec![class(2000, 1.0)])
        },
        2,
    );
    harness.serve_query(0, 50);
    harness.serve_query(10, 60);
    let mut renewed = Vec::new();
    for at in (1..=rounds).map(|i| i * 4000) {
        let (id, mut actions) = harness.query(at, 0, &[1.0]);
        let closes = |actions: &[Action]| {
            actions
                .iter()
                .any(|a| matches!(a, Action::CloseIdleConnections { .. }))
        };
        renewed.push(closes(&actions));
        let mut number = 0;
        if renewed_break || !closes(&actions) {
            let (_, replica) = sent_attempts(&actions)[0];
            actions =
                harness.end_attempt(at + 5, id + 1, 0, replica, AttemptOutcome::ConnectionLost);
            number = 1;
        }
        harness.end_attempt(
            at + 200,
            id + 1,
            number,
            sent_attempts(&actions)[0].1,
            AttemptOutcome::Success,
        );
    }
    renewed
}

#[test]
fn idle_connections_are_renewed_while_they_are_lost() {
    let renewed = idle_connections_break(40, false);
    assert!(
        !renewed[..2].contains(&true),
        "one or two losses are no reason"
    );
    assert!(renewed.iter().filter(|r| **r).count() > 20, "{renewed:?}");
}

#[test]
fn renewal_that_does_not_help_ends() {
    let renewed = idle_connections_break(80, true);
    assert!(renewed.contains(&true), "it starts");
    assert!(renewed.iter().filter(|r| **r).count() < 60, "{renewed:?}");
}
