//! Compares the decisions in seeded scenarios with those of an earlier version of the policy.
//!
//! `recorded_decisions.txt` has one line per scenario, with its seed and a digest of all actions
//! after every 100 batches. A change that alters decisions on purpose must say so and replace the
//! file with the lines that the failing test prints. Any other difference is a regression.

mod scenario;

use scenario::Scenario;
use std::collections::HashSet;

/// Number of scenarios; their seeds start at 1.
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
fn decisions_match_the_recording() {
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
        "expected all scenarios to match the recording, but {} differ; the current lines are:\n{}",
        differing.len(),
        lines.join("\n")
    );
    assert_eq!(
        recorded.len(),
        lines.len(),
        "expected one recorded line per scenario"
    );
}

/// The recording covers only the decisions that the scenarios cause.
#[test]
fn scenarios_cause_at_least_nine_kinds_of_action() {
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
