//! Tests of the renewal of long-idle connections.

mod support;

use aggregator_policy::api::{Action, AttemptOutcome, PolicySettings};
use support::{class, sent_attempts, settings, PolicyHarness, MS};

/// Simulates a device on the network path that drops idle connections without notice, although the
/// replicas are healthy. In each round, a query's attempt on a long-idle connection is lost; if
/// `is_renewed_lost`, attempts on renewed connections are lost as well. Returns, for each round,
/// whether connections were renewed.
fn renewals_by_round(rounds: u64, is_renewed_lost: bool) -> Vec<bool> {
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
    for ms in (1..=rounds).map(|round| round * 4000) {
        let (id, mut actions) = harness.query(ms, 0, &[1.0]);
        let closes_idle_connections = actions
            .iter()
            .any(|action| matches!(action, Action::CloseIdleConnections { .. }));
        renewed.push(closes_idle_connections);
        let mut attempt = 0;
        if is_renewed_lost || !closes_idle_connections {
            let (_, replica) = sent_attempts(&actions)[0];
            actions =
                harness.end_attempt(ms + 5, id + 1, 0, replica, AttemptOutcome::ConnectionLost);
            attempt = 1;
        }
        harness.end_attempt(
            ms + 200,
            id + 1,
            attempt,
            sent_attempts(&actions)[0].1,
            AttemptOutcome::Success,
        );
    }
    renewed
}

#[test]
fn long_idle_connections_are_renewed_while_attempts_on_them_are_lost() {
    let renewed = renewals_by_round(40, false);
    assert!(
        !renewed[..2].contains(&true),
        "expected no renewal in the first two rounds: {renewed:?}"
    );
    assert!(
        renewed.iter().filter(|renewed| **renewed).count() > 20,
        "expected renewals in more than 20 of 40 rounds: {renewed:?}"
    );
}

#[test]
fn renewal_that_does_not_help_ends() {
    let renewed = renewals_by_round(80, true);
    assert!(
        renewed.contains(&true),
        "expected renewals in some rounds: {renewed:?}"
    );
    assert!(
        renewed.iter().filter(|renewed| **renewed).count() < 60,
        "expected renewals in fewer than 60 of 80 rounds: {renewed:?}"
    );
}
