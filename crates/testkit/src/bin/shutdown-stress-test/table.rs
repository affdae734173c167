//! Printed table of the results.

use crate::shutdown_result::ShutdownResult;
use aggregator_testkit::test_program;
use std::time::Duration;

/// Maximum number of failures, and of crossed requests, printed for one scenario.
const MAX_PRINTED_LINES: usize = 6;

/// Results for one client timeout and one leaf server speed.
pub struct Row {
    client_timeout: Duration,
    leaf_speed: &'static str,
    shutdowns: usize,
    requests: usize,
    answered: usize,
    crossed: usize,
    lost: usize,
    killed: usize,
    longest_shutdown: Duration,
    failures: Vec<String>,
    crossings: Vec<String>,
}

impl Row {
    pub fn new(client_timeout: Duration, leaf_speed: &'static str) -> Row {
        Row {
            client_timeout,
            leaf_speed,
            shutdowns: 0,
            requests: 0,
            answered: 0,
            crossed: 0,
            lost: 0,
            killed: 0,
            longest_shutdown: Duration::ZERO,
            failures: Vec::new(),
            crossings: Vec::new(),
        }
    }

    pub fn add(&mut self, result: &ShutdownResult) {
        self.shutdowns += 1;
        self.requests += result.requests;
        self.answered += result.answered;
        self.crossed += result.crossings.len();
        self.crossings.extend(result.crossings.iter().cloned());
        self.lost += result.lost;
        self.killed += usize::from(result.was_killed);
        self.longest_shutdown = self.longest_shutdown.max(result.duration);
        self.failures.extend(result.failures.iter().cloned());
    }

    pub fn print(&self) {
        println!(
            "{:>8} {:>8} {:>9} {:>8} {:>8} {:>7} {:>6} {:>6} {:>10.3}",
            self.client_timeout.as_millis(),
            self.leaf_speed,
            self.shutdowns,
            self.requests,
            self.answered,
            self.crossed,
            self.lost,
            self.killed,
            self.longest_shutdown.as_secs_f64(),
        );
        for failure in self.failures.iter().take(MAX_PRINTED_LINES) {
            println!("    failed: {failure}");
        }
        for crossing in self.crossings.iter().take(MAX_PRINTED_LINES) {
            println!("    crossed: {crossing}");
        }
    }
}

/// Results of all scenarios.
#[derive(Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    pub fn print_head() {
        println!("deadline   leaves shutdowns requests answered crossed   lost killed longest, s");
    }

    pub fn push(&mut self, row: Row) {
        self.rows.push(row);
    }

    /// Returns whether all scenarios ended without a failure.
    pub fn passed(&self) -> bool {
        self.rows.iter().all(|row| row.failures.is_empty())
    }

    pub fn print_summary(&self, seed: u64) {
        let sum = |value: fn(&Row) -> usize| self.rows.iter().map(value).sum::<usize>();
        println!(
            "{}: {} shutdowns, {} requests, {} crossed the end of their connection, {} lost, \
             {} killed, seed {seed}",
            test_program::verdict(self.passed()),
            sum(|row| row.shutdowns),
            sum(|row| row.requests),
            sum(|row| row.crossed),
            sum(|row| row.lost),
            sum(|row| row.killed),
        );
    }
}
