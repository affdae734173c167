//! The printed results.

use crate::judge::Verdict;
use aggregator_testkit::test_program;
use std::time::Duration;

/// The most lost requests, and the most crossings, that are printed of one scenario.
const MAX_PRINTED_LINES: usize = 6;

/// The results of one deadline and one kind of leaf server.
pub struct Row {
    deadline: Duration,
    leaf_servers: &'static str,
    shutdowns: usize,
    requests: usize,
    answered: usize,
    crossed: usize,
    lost: usize,
    killed: usize,
    longest: Duration,
    breaches: Vec<String>,
    crossings: Vec<String>,
}

impl Row {
    pub fn new(deadline: Duration, leaf_servers: &'static str) -> Row {
        Row {
            deadline,
            leaf_servers,
            shutdowns: 0,
            requests: 0,
            answered: 0,
            crossed: 0,
            lost: 0,
            killed: 0,
            longest: Duration::ZERO,
            breaches: Vec::new(),
            crossings: Vec::new(),
        }
    }

    pub fn add(&mut self, verdict: &Verdict) {
        self.shutdowns += 1;
        self.requests += verdict.requests;
        self.answered += verdict.answered;
        self.crossed += verdict.crossings.len();
        self.crossings.extend(verdict.crossings.iter().cloned());
        self.lost += verdict.lost;
        self.killed += usize::from(verdict.was_killed);
        self.longest = self.longest.max(verdict.duration);
        self.breaches.extend(verdict.breaches.iter().cloned());
    }

    pub fn print(&self) {
        println!(
            "{:>8} {:>8} {:>9} {:>8} {:>8} {:>7} {:>6} {:>6} {:>10.3}",
            self.deadline.as_millis(),
            self.leaf_servers,
            self.shutdowns,
            self.requests,
            self.answered,
            self.crossed,
            self.lost,
            self.killed,
            self.longest.as_secs_f64(),
        );
        for breach in self.breaches.iter().take(MAX_PRINTED_LINES) {
            println!("    lost: {breach}");
        }
        for crossing in self.crossings.iter().take(MAX_PRINTED_LINES) {
            println!("    crossed: {crossing}");
        }
    }
}

/// All rows.
#[derive(Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    pub fn print_head(&self) {
        println!("deadline   leaves shutdowns requests answered crossed   lost killed longest, s");
    }

    pub fn push(&mut self, row: Row) {
        self.rows.push(row);
    }

    /// Whether nothing was breached.
    pub fn holds(&self) -> bool {
        self.rows.iter().all(|row| row.breaches.is_empty())
    }

    pub fn print_summary(&self, seed: u64) {
        let sum = |value: fn(&Row) -> usize| self.rows.iter().map(value).sum::<usize>();
        println!(
            "{}: {} shutdowns, {} requests, {} crossed the end of their connection, {} lost, \
             {} killed, seed {seed}",
            test_program::verdict(self.holds()),
            sum(|row| row.shutdowns),
            sum(|row| row.requests),
            sum(|row| row.crossed),
            sum(|row| row.lost),
            sum(|row| row.killed),
        );
    }
}
