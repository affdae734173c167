//! Result of the test and its output.

use crate::tally::{sum, OutcomeCounts, ServedOutcome, Tally};
use aggregator_testkit::installation::CLASSES;
use aggregator_testkit::test_program;
use std::collections::BTreeMap;
use std::iter;
use std::time::Duration;

/// Maximum number of response errors that are printed.
const MAX_SHOWN_ERRORS: usize = 5;
/// Largest allowed difference between the numbers of answers of the two frontends, in percent of
/// the searches. A search is sent to one frontend after the other, so a lost zone may affect only
/// one of the two requests.
const MAX_DIFFERENCE_PERCENT: u64 = 3;
/// Smallest allowed share of searches that the gateway answers, in percent.
const MIN_ANSWERED_PERCENT: u64 = 90;

/// Result of the test.
pub struct Summary {
    /// Tally of all searches under load.
    pub tally: Tally,
    /// Tallies of the searches with a fault, repeated with long latency objectives.
    pub repeated: Vec<Tally>,
    /// Number of failed checks of the gateway's API.
    pub api_failures: usize,
    /// Whether all aggregators shut down gracefully.
    pub has_clean_exit: bool,
}

impl Summary {
    /// Returns whether the test passed.
    pub fn passed(&self) -> bool {
        self.responses_are_correct()
            && self.frontends_agree()
            && self.repeats_are_correct()
            && self.api_failures == 0
            && self.has_clean_exit
    }

    /// Returns whether every search under load got a correct response, enough searches got an
    /// answer, and at least one requested a fault.
    fn responses_are_correct(&self) -> bool {
        let tally = &self.tally;
        let searches = sum(&tally.gateway, OutcomeCounts::total);
        tally.response_errors.is_empty()
            && tally.unanswered == 0
            && tally.exact_pages == self.gateway_answers() + partial_faulted(tally)
            && self.faulted_searches() > 0
            && self.gateway_answers() * 100 >= searches * MIN_ANSWERED_PERCENT
    }

    /// Returns whether both frontends received the same number of searches and answered nearly the
    /// same number of them.
    fn frontends_agree(&self) -> bool {
        let native_searches = sum(&self.tally.native, OutcomeCounts::total);
        let gateway_searches = sum(&self.tally.gateway, OutcomeCounts::total);
        let difference = self.native_answers().abs_diff(self.gateway_answers());
        native_searches == gateway_searches
            && difference * 100 <= MAX_DIFFERENCE_PERCENT * native_searches
    }

    /// Returns whether all searches with a fault were repeated, each with a correct response.
    fn repeats_are_correct(&self) -> bool {
        !self.repeated.is_empty()
            && self.repeated.iter().all(|tally| {
                tally.response_errors.is_empty()
                    && tally.unanswered == 0
                    && sum(&tally.faulted, OutcomeCounts::total) == self.faulted_searches()
                    && tally.exact_pages == partial_faulted(tally)
            })
    }

    /// Prints the counts by class and by fault, and the first response errors.
    pub fn print_details(&self) {
        for class in CLASSES {
            println!(
                "{}: native {}; gateway {}",
                class.name,
                describe_class(&self.tally.native, class.name),
                describe_class(&self.tally.gateway, class.name)
            );
        }
        print_faulted("", &self.tally);
        for tally in &self.repeated {
            print_faulted("repeated with long latency objectives: ", tally);
        }
        for error in self.response_errors().take(MAX_SHOWN_ERRORS) {
            println!("WRONG {error}");
        }
    }

    /// Prints the summary, which is the last line of the output.
    pub fn print_last_line(&self, seed: u64, time: Duration) {
        let verdict = test_program::verdict(self.passed());
        println!(
            "{verdict}: {} searches through each frontend, {} answered by the gateway \
             and {} by the native frontend, \
             {} pages exact, {} searches with a fault, {} response errors, {} unanswered, \
             {} ended after the client timeout, 1 zone lost, seed {seed}, {:.0} s",
            sum(&self.tally.gateway, OutcomeCounts::total),
            self.gateway_answers(),
            self.native_answers(),
            self.tally.exact_pages,
            self.faulted_searches(),
            self.response_errors().count(),
            self.unanswered(),
            self.tally.late,
            time.as_secs_f64()
        );
    }

    /// Returns the response errors of both runs.
    fn response_errors(&self) -> impl Iterator<Item = &String> {
        self.tallies().flat_map(|tally| &tally.response_errors)
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

    fn faulted_searches(&self) -> u64 {
        sum(&self.tally.faulted, OutcomeCounts::total)
    }
}

fn partial_faulted(tally: &Tally) -> u64 {
    sum(&tally.faulted, |counts| counts.of(ServedOutcome::Partial))
}

fn print_faulted(prefix: &str, tally: &Tally) {
    for (fault, counts) in &tally.faulted {
        for (outcome, count) in counts.iter() {
            println!(
                "{prefix}fault '{}': {count} {}",
                fault.label(),
                outcome.label()
            );
        }
    }
}

fn describe_class(counts_by_class: &BTreeMap<&'static str, OutcomeCounts>, class: &str) -> String {
    let Some(counts) = counts_by_class.get(class) else {
        return String::new();
    };
    ServedOutcome::ALL
        .into_iter()
        .filter(|outcome| counts.of(*outcome) > 0)
        .map(|outcome| format!("{} {}", counts.of(outcome), outcome.label()))
        .collect::<Vec<_>>()
        .join(", ")
}
