//! Verification: checks statements and documents against their hashes, and statements against the
//! records.
//!
//! Transaction boundary: none. Another process may write at the same time, so a period that is
//! closed during the verification may be reported as faulty.

use super::database::Store;
use super::error::Result;
use super::hash::sha256_hex;
use super::{carry_over, lines};
use crate::join::JoinBounds;
use crate::line_counts::adjustments;
use crate::period::Period;
use crate::statement::Statement;
use std::collections::HashMap;

/// Result of SQLite's integrity check for an intact file.
const INTACT: &str = "ok";

/// Result of a verification.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerificationReport {
    /// Number of items that were checked: statements, documents and periods.
    pub checked: u64,
    /// Faults that were found, in the order of the checks.
    pub faults: Vec<VerificationFault>,
}

/// An inconsistency in the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerificationFault {
    /// SQLite reports that the file is damaged.
    #[error("the file is damaged: {finding}")]
    DamagedFile {
        /// First finding of SQLite's integrity check.
        finding: String,
    },
    /// Hash mismatch: the text of a statement does not have the hash that is stored with it.
    #[error("statement {period}: its text is not what was hashed")]
    StatementChanged {
        /// Name of the period of the statement.
        period: String,
    },
    /// A statement does not contain the hash of the previous statement.
    #[error("statement {period}: does not follow the one before it")]
    ChainBroken {
        /// Name of the period of the statement.
        period: String,
    },
    /// The sum of lines and corrections, or the sum of the amounts of all tenants, differs from the
    /// total of the statement.
    #[error("statement {period}: its lines come to {sum}, its total is {total}")]
    WrongTotal {
        /// Name of the period of the statement.
        period: String,
        /// Sum of lines and corrections, in micro-units.
        sum: i64,
        /// Total that the statement contains, in micro-units.
        total: i64,
    },
    /// Hash mismatch: the text of a document does not have the hash that is stored with it.
    #[error("document {id}: its text is not what was hashed")]
    DocumentChanged {
        /// Id of the document.
        id: String,
    },
    /// The counts in all statements together differ from the current counts of the records.
    #[error(
        "period {period}: {tenant:?} {class:?}: statements differ from the records by {requests} uses"
    )]
    RecordsDiffer {
        /// Name of the period to which the counts belong.
        period: String,
        /// Name of the tenant; `None` if the store has no name for the tenant's id.
        tenant: Option<String>,
        /// Name of the class; `None` if the store has no name for the class's id.
        class: Option<String>,
        /// Number of logical requests in the records, minus the number in the statements.
        requests: i64,
    },
}

/// State of a verification.
struct Verification<'a> {
    store: &'a Store,
    report: VerificationReport,
}

impl Store {
    /// Checks the file, the chain of statements, their totals, the hashes of statements and
    /// documents, and the counts of all statements against the records.
    ///
    /// Dirty periods are not checked against the records: their statements are known to be
    /// outdated.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn verify(&self, bounds: JoinBounds) -> Result<VerificationReport> {
        let mut verification = Verification {
            store: self,
            report: VerificationReport::default(),
        };
        verification.check_file()?;
        verification.check_statements()?;
        verification.check_documents()?;
        verification.check_periods(bounds)?;
        Ok(verification.report)
    }
}

impl Verification<'_> {
    fn add_fault(&mut self, fault: VerificationFault) {
        self.report.faults.push(fault);
    }

    fn check_file(&mut self) -> Result<()> {
        let check = "PRAGMA integrity_check";
        let finding: String = self.store.db.query_row(check, [], |row| row.get(0))?;
        if finding != INTACT {
            self.add_fault(VerificationFault::DamagedFile { finding });
        }
        Ok(())
    }

    fn check_statements(&mut self) -> Result<()> {
        let mut previous = String::new();
        for stored in self.store.statements()? {
            let statement = &stored.statement;
            if sha256_hex(stored.body.as_bytes()) != stored.hash {
                let period = statement.period.clone();
                self.add_fault(VerificationFault::StatementChanged { period });
            }
            if statement.previous_hash != previous {
                let period = statement.period.clone();
                self.add_fault(VerificationFault::ChainBroken { period });
            }
            self.check_total(statement);
            previous = stored.hash;
            self.report.checked += 1;
        }
        Ok(())
    }

    fn check_total(&mut self, statement: &Statement) {
        let lines: i64 = statement.lines.iter().map(|line| line.amount).sum();
        let corrections: i64 = statement.corrections.iter().map(|line| line.amount).sum();
        let tenants: i64 = statement.tenants.iter().map(|tenant| tenant.amount).sum();
        let sum = lines + corrections;
        if sum != statement.total || tenants != statement.total {
            self.add_fault(VerificationFault::WrongTotal {
                period: statement.period.clone(),
                sum,
                total: statement.total,
            });
        }
    }

    fn check_documents(&mut self) -> Result<()> {
        let select = "SELECT id, body, hash FROM outbox";
        let mut select = self.store.db.prepare(select)?;
        let mut rows = select.query([])?;
        while let Some(row) = rows.next()? {
            let id: String = row.get(0)?;
            let body: String = row.get(1)?;
            let hash: String = row.get(2)?;
            if sha256_hex(body.as_bytes()) != hash {
                self.add_fault(VerificationFault::DocumentChanged { id });
            }
            self.report.checked += 1;
        }
        Ok(())
    }

    fn check_periods(&mut self, bounds: JoinBounds) -> Result<()> {
        let names = self.store.names_by_id()?;
        for closed in self.store.periods()? {
            if !closed.has_pending_late_records {
                self.check_period(closed.period, bounds, &names)?;
                self.report.checked += 1;
            }
        }
        Ok(())
    }

    fn check_period(
        &mut self,
        period: Period,
        bounds: JoinBounds,
        names: &HashMap<u32, String>,
    ) -> Result<()> {
        let settled = carry_over::settle(&self.store.db, period, bounds)?;
        let billed = lines::load_billed_usage(&self.store.db, period)?;
        for (key, counts) in adjustments(&settled.lines, &billed.lines) {
            self.add_fault(VerificationFault::RecordsDiffer {
                period: period.name(),
                tenant: names.get(&key.tenant_id).cloned(),
                class: names.get(&key.class_id).cloned(),
                requests: counts.requests,
            });
        }
        Ok(())
    }
}
