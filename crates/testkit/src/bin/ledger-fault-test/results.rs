//! What clients, ledger and receiver have recorded, and the summary of it.

use crate::check_list::CheckList;
use crate::client_use::{UseOutcome, UseRecord};
use crate::load::LedgerLoad;
use crate::statements::Statements;
use aggregator_testkit::receiver::ReceivedDocuments;
use aggregator_testkit::test_program;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// What was collected after the clients had ended.
pub struct Results {
    /// The clients' records.
    pub uses: Vec<UseRecord>,
    /// The counts of all clients.
    pub load: Arc<LedgerLoad>,
    /// What the ledger states.
    pub statements: Statements,
    /// The documents that were received.
    pub received: ReceivedDocuments,
    /// The names of the documents that the ledger lists.
    pub document_list: BTreeSet<String>,
    /// The names of the documents in the export's folder.
    pub files: BTreeSet<String>,
}

impl Results {
    /// Prints the last line.
    pub fn print_summary(
        &self,
        checks: &CheckList,
        load_time: Duration,
        total_time: Duration,
        seed: u64,
    ) {
        let answered = self.answered_uses();
        println!(
            "{}: {} uses ({answered} answered) in {} attempts at {:.0} a second, {} periods, \
             {} adjustments, {} documents in {} deliveries, \
             2 aggregator kills, 1 zone lost, 2 settlement kills, seed {seed}, {:.0} s{}",
            test_program::verdict(checks.holds()),
            self.uses.len(),
            self.load.counters.attempts.value(),
            self.uses.len() as f64 / load_time.as_secs_f64(),
            self.statements.count,
            self.statements.adjustments,
            self.received.by_id.len(),
            self.deliveries(),
            total_time.as_secs_f64(),
            checks.failures_suffix()
        );
    }

    fn answered_uses(&self) -> usize {
        let records = self.uses.iter();
        records
            .filter(|record| matches!(record.outcome, UseOutcome::Complete | UseOutcome::Partial))
            .count()
    }

    /// Deliveries of all documents, repeated ones included.
    pub fn deliveries(&self) -> u32 {
        self.received
            .by_id
            .values()
            .map(|document| document.deliveries)
            .sum()
    }
}
