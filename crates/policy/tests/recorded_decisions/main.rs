//! Compares the decisions in seeded scenarios with those of an earlier version of the policy.
//!
//! `recorded_decisions.txt` has one line per scenario, with its seed and a digest of all actions
//! after every 100 batches. A change that alters decisions on purpose must say so and replace the
//! file with the lines that the failing test prints. Any other difference is a regression.

mod scenario;

use scenario::Scenario;
use std::collections::HashSet;

const SCENARIOS: u64 = 64;
const RECORDED: &str = include_str!("recorded_decisions.txt");

fn format_line(seed: u64, digests: &[u64]) -> String {
    let digests: Vec<String> = digests
        .iter()
        .map(|digest| format!("{digest:016x}"))
        .collect();
    format!("{seed} {}", digests.join(" "))
}

#[test]
fn decisions_are_those_that_were_recorded() {
    let lines: Vec<String> = (1..=SCENARIOS)
        .map(|seed| format_line(seed, &Scenario::new(seed).run()))
        .collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    let differing: Vec<&String> = lines
        .iter()
        .filter(|line| !recorded.contains(&line.as_str()))
        .collect();
    assert!(
        differing.is_empty(),
        "{} scenarios differ from the recording; the current lines are:\n{}",
        differing.len(),
        lines.join("\n")
    );
    assert_eq!(
        recorded.len(),
        lines.len(),
        "expected one recorded line per scenario"
    );
}

/// The recording only covers the parts of the policy that the scenarios reach.
#[test]
fn scenarios_reach_every_action_but_gossip() {
    let mut reached = HashSet::new();
    for seed in 1..=SCENARIOS {
        let actions = Scenario::new(seed).collect_actions();
        reached.extend(actions.iter().map(std::mem::discriminant));
    }
    assert!(
        reached.len() >= 9,
        "expected at least 9 kinds of action, found {}",
        reached.len()
    );
}
