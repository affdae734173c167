//! Records of clients, ledger and receiver, and their summary.

use crate::check_list::CheckList;
use crate::load::LedgerLoad;
use crate::logical_request::{ClientRequestOutcome, ClientRequestRecord};
use crate::statements::Statements;
use aggregator_testkit::receiver::ReceivedDocuments;
use aggregator_testkit::test_program;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Records collected after all clients had ended.
pub struct Results {
    /// Clients' records of their logical requests.
    pub requests: Vec<ClientRequestRecord>,
    /// Load with the counters of all clients.
    pub load: Arc<LedgerLoad>,
    /// Statements of all periods.
    pub statements: Statements,
    /// Documents stored by the receiver.
    pub received_documents: ReceivedDocuments,
    /// Names of the documents that the ledger lists.
    pub listed_documents: BTreeSet<String>,
    /// Names of the documents in the export folder.
    pub exported_documents: BTreeSet<String>,
}

impl Results {
    /// Prints the summary, which is the last line of the output. `load_time` is the time from the
    /// start of the installation until all clients have ended.
    pub fn print_summary(
        &self,
        checks: &CheckList,
        load_time: Duration,
        total_time: Duration,
        seed: u64,
    ) {
        let answered = self.answered_requests();
        println!(
            "{}: {} uses ({answered} answered) at {:.0} per second in {} attempts, {} periods, \
             {} adjustments, {} documents in {} deliveries, \
             2 aggregator kills, 1 zone lost, 2 settlement kills, seed {seed}, {:.0} s{}",
            test_program::verdict(checks.passed()),
            self.requests.len(),
            self.requests.len() as f64 / load_time.as_secs_f64(),
            self.load.counters.attempts.value(),
            self.statements.count,
            self.statements.adjustments,
            self.received_documents.by_id.len(),
            self.deliveries(),
            total_time.as_secs_f64(),
            checks.failures_suffix()
        );
    }

    fn answered_requests(&self) -> usize {
        let records = self.requests.iter();
        records
            .filter(|record| {
                matches!(
                    record.outcome,
                    ClientRequestOutcome::Complete | ClientRequestOutcome::Partial
                )
            })
            .count()
    }

    /// Returns the number of deliveries of all documents, repeated ones included.
    pub fn deliveries(&self) -> u32 {
        self.received_documents
            .by_id
            .values()
            .map(|document| document.deliveries)
            .sum()
    }
}
