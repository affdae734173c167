//! Reports on single searches, and the tally of all searches.

use aggregator_testkit::search::ShardFault;
use std::collections::BTreeMap;

/// Outcome of a search.
///
/// The variants are declared in the alphabetical order of their labels, in which the outcomes of
/// searches with a fault are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServedOutcome {
    /// Answer that covers all shards.
    Complete,
    /// Error response.
    Failed,
    /// Answer that covers only some shards.
    Partial,
    /// Rejection to shed load.
    Rejected,
    /// No response.
    Unanswered,
}

impl ServedOutcome {
    /// All outcomes, in the order in which the counts of a class are listed.
    pub const ALL: [ServedOutcome; 5] = [
        ServedOutcome::Complete,
        ServedOutcome::Partial,
        ServedOutcome::Rejected,
        ServedOutcome::Failed,
        ServedOutcome::Unanswered,
    ];

    /// Returns the outcome of an answered search.
    pub fn answered(is_complete: bool) -> ServedOutcome {
        if is_complete {
            ServedOutcome::Complete
        } else {
            ServedOutcome::Partial
        }
    }

    /// Returns the name of the outcome in the output.
    pub fn label(self) -> &'static str {
        match self {
            ServedOutcome::Complete => "complete",
            ServedOutcome::Partial => "partial",
            ServedOutcome::Rejected => "rejected",
            ServedOutcome::Failed => "failed",
            ServedOutcome::Unanswered => "unanswered",
        }
    }
}

/// Numbers of searches by outcome.
#[derive(Clone, Debug, Default)]
pub struct OutcomeCounts(BTreeMap<ServedOutcome, u64>);

impl OutcomeCounts {
    /// Counts one search with the given outcome.
    pub fn add(&mut self, outcome: ServedOutcome) {
        *self.0.entry(outcome).or_default() += 1;
    }

    /// Returns the number of searches with this outcome.
    pub fn of(&self, outcome: ServedOutcome) -> u64 {
        self.0.get(&outcome).copied().unwrap_or_default()
    }

    /// Returns the number of all searches.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the number of searches with an answer, complete or partial.
    pub fn answered(&self) -> u64 {
        self.of(ServedOutcome::Complete) + self.of(ServedOutcome::Partial)
    }

    /// Returns the outcomes that occurred and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (ServedOutcome, u64)> + '_ {
        self.0.iter().map(|(outcome, count)| (*outcome, *count))
    }
}

/// Report on one search through one frontend.
pub struct SearchReport {
    /// Outcome of the search.
    pub outcome: ServedOutcome,
    /// Whether the response is a page that equals the expected one.
    pub has_exact_page: bool,
    /// Whether the search ended after the client timeout, with or without a response.
    /// Always `false` for the native frontend.
    pub is_late: bool,
    /// Errors found in the response.
    response_errors: Vec<String>,
}

impl SearchReport {
    /// Creates a report without errors and without an exact page.
    pub fn new(outcome: ServedOutcome) -> SearchReport {
        SearchReport {
            outcome,
            has_exact_page: false,
            is_late: false,
            response_errors: Vec::new(),
        }
    }

    /// Adds a description of an error in the response.
    pub fn add_error(&mut self, description: String) {
        self.response_errors.push(description);
    }
}

/// Counts and errors of all searches of a run.
#[derive(Default)]
pub struct Tally {
    /// Outcomes of searches through the native frontend, by class.
    pub native: BTreeMap<&'static str, OutcomeCounts>,
    /// Outcomes of searches through the gateway that requested no fault, by class.
    pub gateway: BTreeMap<&'static str, OutcomeCounts>,
    /// Outcomes of searches through the gateway that requested a fault, by fault.
    pub faulted: BTreeMap<ShardFault, OutcomeCounts>,
    /// Number of pages of the gateway that equal the expected ones.
    pub exact_pages: u64,
    /// Descriptions of errors in responses.
    pub response_errors: Vec<String>,
    /// Number of searches without a response.
    pub unanswered: u64,
    /// Number of searches through the gateway that ended after the client timeout, with or without
    /// a response.
    pub late: u64,
}

impl Tally {
    /// Adds the report on a search through the native frontend.
    pub fn add_native(&mut self, class: &'static str, report: SearchReport) {
        self.native.entry(class).or_default().add(report.outcome);
        self.add(report);
    }

    /// Adds the report on a search through the gateway.
    pub fn add_gateway(
        &mut self,
        class: &'static str,
        fault: Option<ShardFault>,
        report: SearchReport,
    ) {
        let counts = match fault {
            Some(fault) => self.faulted.entry(fault).or_default(),
            None => self.gateway.entry(class).or_default(),
        };
        counts.add(report.outcome);
        self.add(report);
    }

    fn add(&mut self, report: SearchReport) {
        self.exact_pages += u64::from(report.has_exact_page);
        self.unanswered += u64::from(report.outcome == ServedOutcome::Unanswered);
        self.late += u64::from(report.is_late);
        self.response_errors.extend(report.response_errors);
    }
}

/// Returns the sum of `count` over all entries.
pub fn sum<Key>(
    counts: &BTreeMap<Key, OutcomeCounts>,
    count: impl Fn(&OutcomeCounts) -> u64,
) -> u64 {
    counts.values().map(count).sum()
}
