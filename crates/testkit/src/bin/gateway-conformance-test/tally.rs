//! Reports on single searches, and the counts of all of them.

use aggregator_testkit::search::ShardFault;
use std::collections::BTreeMap;

/// How a search was served.
///
/// Declared in the order of the labels, in which searches with a fault are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServedOutcome {
    /// With an answer from all shards.
    Complete,
    /// With an error.
    Failed,
    /// With an answer from some shards.
    Partial,
    /// With a rejection, to shed load.
    Rejected,
    /// Not at all.
    Unanswered,
}

impl ServedOutcome {
    /// All outcomes, in the order in which a class's counts are listed.
    pub const ALL: [ServedOutcome; 5] = [
        ServedOutcome::Complete,
        ServedOutcome::Partial,
        ServedOutcome::Rejected,
        ServedOutcome::Failed,
        ServedOutcome::Unanswered,
    ];

    /// An answer that is complete or not.
    pub fn answered(complete: bool) -> ServedOutcome {
        if complete {
            ServedOutcome::Complete
        } else {
            ServedOutcome::Partial
        }
    }

    /// The outcome's name in the output.
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

/// How many searches ended how.
#[derive(Clone, Debug, Default)]
pub struct OutcomeCounts(BTreeMap<ServedOutcome, u64>);

impl OutcomeCounts {
    /// Counts one search.
    pub fn add(&mut self, outcome: ServedOutcome) {
        *self.0.entry(outcome).or_default() += 1;
    }

    /// Searches with this outcome.
    pub fn of(&self, outcome: ServedOutcome) -> u64 {
        self.0.get(&outcome).copied().unwrap_or_default()
    }

    /// All searches.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Searches with an answer, complete or not.
    pub fn answered(&self) -> u64 {
        self.of(ServedOutcome::Complete) + self.of(ServedOutcome::Partial)
    }

    /// The outcomes that occurred, with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (ServedOutcome, u64)> + '_ {
        self.0.iter().map(|(outcome, count)| (*outcome, *count))
    }
}

/// How one search was served through one frontend.
pub struct SearchReport {
    /// How it was served.
    pub outcome: ServedOutcome,
    /// Whether its page is exactly as computed from the documents.
    pub has_exact_page: bool,
    /// Whether its response came after the client's timeout.
    pub is_late: bool,
    /// What is wrong with its response.
    wrong: Vec<String>,
}

impl SearchReport {
    /// A report with nothing wrong, and without an exact page.
    pub fn new(outcome: ServedOutcome) -> SearchReport {
        SearchReport {
            outcome,
            has_exact_page: false,
            is_late: false,
            wrong: Vec::new(),
        }
    }

    /// Adds what is wrong with the response.
    pub fn add_wrong(&mut self, wrong: String) {
        self.wrong.push(wrong);
    }
}

/// The counts of all searches.
#[derive(Default)]
pub struct Tally {
    /// Through the native protocol, by class.
    pub native: BTreeMap<&'static str, OutcomeCounts>,
    /// Through the gateway, by class; without those that requested a fault.
    pub gateway: BTreeMap<&'static str, OutcomeCounts>,
    /// Through the gateway, by the requested fault.
    pub faulted: BTreeMap<ShardFault, OutcomeCounts>,
    /// Pages of the gateway that are exactly as computed.
    pub exact_pages: u64,
    /// Descriptions of wrong responses.
    pub wrong: Vec<String>,
    /// Searches without any response.
    pub unanswered: u64,
    /// Responses of the gateway later than the class's timeout.
    pub late: u64,
}

impl Tally {
    /// Adds a search through the native protocol.
    pub fn add_native(&mut self, class: &'static str, report: SearchReport) {
        self.native.entry(class).or_default().add(report.outcome);
        self.add(report);
    }

    /// Adds a search through the gateway.
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
        self.wrong.extend(report.wrong);
    }
}

/// The sum of `count` over all entries.
pub fn sum<Key>(
    counts: &BTreeMap<Key, OutcomeCounts>,
    count: impl Fn(&OutcomeCounts) -> u64,
) -> u64 {
    counts.values().map(count).sum()
}
