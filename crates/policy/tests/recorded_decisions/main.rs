//! Seeded scenarios whose decisions are compared with those recorded from an earlier version of the
//! policy.
//!
//! `recorded_decisions.txt` holds a line for each scenario: its seed, and a digest of all actions
//! after every 100 batches. A change that decides differently on purpose says so
//! and renews the file with what the failing test prints; any other difference is a fault of the
//! change.

mod scenario;

use scenario::Scenario;
use std::collections::HashSet;

const SCENARIOS: u64 = 64;
const RECORDED: &str = include_str!("recorded_decisions.txt");

fn line(seed: u64, digests: &[u64]) -> String {
    let digests: Vec<String> = digests
        .iter()
        .map(|digest| format!("{digest:016x}"))
        .collect();
    format!("{seed} {}", digests.join(" "))
}

#[test]
fn decisions_are_those_that_were_recorded() {
    let lines: Vec<String> = (1..=SCENARIOS)
        .map(|seed| line(seed, &Scenario::new(seed).run()))
        .collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    let differing: Vec<&String> = lines
        .iter()
        .filter(|line| !recorded.contains(&line.as_str()))
        .collect();
    assert!(
        differing.is_empty(),
        "{} scenarios differ; all lines now:\n{}",
        differing.len(),
        lines.join("\n")
    );
    assert_eq!(
        recorded.len(),
        lines.len(),
        "one recorded line for each scenario"
    );
}

/// What the recording is worth depends on how much of the policy the scenarios reach.
#[test]
fn scenarios_reach_every_action_but_gossip() {
    let mut reached = HashSet::new();
    for seed in 1..=SCENARIOS {
        let actions = Scenario::new(seed).collect_actions();
        reached.extend(actions.iter().map(std::mem::discriminant));
    }
    assert!(reached.len() >= 9, "only {} kinds of action", reached.len());
}
