//! The result of the proof and its output.

use crate::tally::{sum, OutcomeCounts, ServedOutcome, Tally};
use aggregator_testkit::installation::CLASSES;
use aggregator_testkit::proof;
use std::collections::BTreeMap;
use std::iter;
use std::time::Duration;

/// What is wrong with searches is printed for so many of them.
const MAX_SHOWN_WRONG: usize = 5;
/// By how many percent of the searches the numbers of answers may differ: both are asked one after
/// the other, and what a lost zone costs one query it need not cost the other.
const MAX_DIFFERENCE_PERCENT: u64 = 3;
/// The least share of the searches that the gateway answers.
const MIN_ANSWERED_PERCENT: u64 = 90;

/// The result of the proof.
pub struct Summary {
    /// What became of all searches.
    pub tally: Tally,
    /// What became of the searches with a fault when they were repeated without time pressure.
    pub repeated: Vec<Tally>,
    /// Checks of the gateway's interface that failed.
    pub api_failures: usize,
    /// Whether all aggregators exited by themselves.
    pub clean_exit: bool,
}

impl Summary {
    /// Whether all holds.
    pub fn holds(&self) -> bool {
        let tally = &self.tally;
        let native_searches = sum(&tally.native, OutcomeCounts::total);
        let gateway_searches = sum(&tally.gateway, OutcomeCounts::total);
        let difference = self.native_answers().abs_diff(self.gateway_answers());
        tally.wrong.is_empty()
            && tally.unanswered == 0
            && difference * 100 <= MAX_DIFFERENCE_PERCENT * native_searches
            && self.clean_exit
            && native_searches == gateway_searches
            && tally.exact_pages == self.gateway_answers() + partial_faulted(tally)
            && self.faulty_searches() > 0
            && self.repeats_hold()
            && self.api_failures == 0
            && self.gateway_answers() * 100 >= gateway_searches * MIN_ANSWERED_PERCENT
    }

    /// Whether all searches with a fault were repeated, and each as it ought to be.
    fn repeats_hold(&self) -> bool {
        !self.repeated.is_empty()
            && self.repeated.iter().all(|tally| {
                tally.wrong.is_empty()
                    && tally.unanswered == 0
                    && sum(&tally.faulty, OutcomeCounts::total) == self.faulty_searches()
                    && tally.exact_pages == partial_faulted(tally)
            })
    }

    /// Prints the counts by class and by fault, and some of what is wrong.
    pub fn print_details(&self) {
        for class in CLASSES {
            println!(
                "{}: native {}; front {}",
                class.name,
                describe_class(&self.tally.native, class.name),
                describe_class(&self.tally.gateway, class.name)
            );
        }
        print_faulted("", &self.tally);
        for tally in &self.repeated {
            print_faulted("repeated without time pressure: ", tally);
        }
        for wrong in self.wrong().take(MAX_SHOWN_WRONG) {
            println!("WRONG {wrong}");
        }
    }

    /// Prints the last line.
    pub fn print_last_line(&self, seed: u64, time: Duration) {
        let verdict = proof::verdict(self.holds());
        println!(
            "{verdict}: {} searches through each front, {} answered by the new one \
             and {} by the native one, \
             {} pages exact, {} searches on a sick shard, {} wrong, {} unanswered, \
             {} later than their time, 1 zone lost, seed {seed}, {:.0} s",
            sum(&self.tally.gateway, OutcomeCounts::total),
            self.gateway_answers(),
            self.native_answers(),
            self.tally.exact_pages,
            self.faulty_searches(),
            self.wrong().count(),
            self.unanswered(),
            self.tally.late,
            time.as_secs_f64()
        );
    }

    /// What was not as it ought to be, under load and without.
    fn wrong(&self) -> impl Iterator<Item = &String> {
        self.tallies().flat_map(|tally| &tally.wrong)
    }

    fn unanswered(&self) -> u64 {
        self.tallies().map(|tally| tally.unanswered).sum()
    }

    fn tallies(&self) -> impl Iterator<Item = &Tally> {
        iter::once(&self.tally).chain(&self.repeated)
    }

    fn native_answers(&self) -> u64 {
        sum(&self.tally.native, OutcomeCounts::answered)
    }

    fn gateway_answers(&self) -> u64 {
        sum(&self.tally.gateway, OutcomeCounts::answered)
    }

    fn faulty_searches(&self) -> u64 {
        sum(&self.tally.faulty, OutcomeCounts::total)
    }
}

fn partial_faulted(tally: &Tally) -> u64 {
    sum(&tally.faulty, |counts| counts.of(ServedOutcome::Partial))
}

fn print_faulted(prefix: &str, tally: &Tally) {
    for (fault, counts) in &tally.faulty {
        for (outcome, count) in counts.iter() {
            println!(
                "{prefix}a shard {}: {count} {}",
                fault.label(),
                outcome.label()
            );
        }
    }
}

fn describe_class(served: &BTreeMap<&'static str, OutcomeCounts>, class: &str) -> String {
    let Some(counts) = served.get(class) else {
        return String::new();
    };
    ServedOutcome::ALL
        .into_iter()
        .filter(|outcome| counts.of(*outcome) > 0)
        .map(|outcome| format!("{} {}", counts.of(outcome), outcome.label()))
        .collect::<Vec<_>>()
        .join(", ")
}
