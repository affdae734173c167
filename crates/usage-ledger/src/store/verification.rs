//! Checking what the store claims.
//!
//! Transaction boundary: none; it reads while others may write, so a period that closes meanwhile
//! may be reported.

use super::{carry_over, digest, lines, Result, Store};
use crate::period::Period;
use crate::settle::{adjustments, Bounds};
use crate::statement::Statement;
use std::collections::HashMap;

/// A verification under way.
struct Verification<'a> {
    store: &'a Store,
    /// Statements, documents and periods that were checked.
    checked: u64,
    /// What is wrong, a line each, for people to read.
    findings: Vec<String>,
}

impl Store {
    /// Checks the chain of statements, that lines add up to totals, that statements and documents
    /// are as they were made, and that the statements together come to what the records do.
    ///
    /// Returns how many statements, documents and periods were checked, and what is wrong.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn verify(&self, bounds: Bounds) -> Result<(u64, Vec<String>)> {
        let mut verification = Verification {
            store: self,
            checked: 0,
            findings: Vec::new(),
        };
        verification.check_file()?;
        verification.check_statements()?;
        verification.check_documents()?;
        verification.check_periods(bounds)?;
        Ok((verification.checked, verification.findings))
    }
}

impl Verification<'_> {
    fn check_file(&mut self) -> Result<()> {
        let check = "PRAGMA integrity_check";
        let result: String = self.store.db.query_row(check, [], |row| row.get(0))?;
        if result != "ok" {
            self.findings.push(format!("the file is damaged: {result}"));
        }
        Ok(())
    }

    fn check_statements(&mut self) -> Result<()> {
        let mut previous = String::new();
        for (statement, hash, body) in self.store.statements()? {
            let name = &statement.period;
            if digest(body.as_bytes()) != hash {
                let finding = format!("statement {name}: its text is not what was hashed");
                self.findings.push(finding);
            }
            if statement.previous != previous {
                let finding = format!("statement {name}: does not follow the one before it");
                self.findings.push(finding);
            }
            self.check_total(&statement);
            previous = hash;
            self.checked += 1;
        }
        Ok(())
    }

    fn check_total(&mut self, statement: &Statement) {
        let lines: i64 = statement.lines.iter().map(|line| line.amount).sum();
        let corrections: i64 = statement.corrections.iter().map(|line| line.amount).sum();
        let tenants: i64 = statement.tenants.iter().map(|tenant| tenant.amount).sum();
        let sum = lines + corrections;
        if sum != statement.total || tenants != statement.total {
            self.findings.push(format!(
                "statement {}: its lines come to {sum}, its total is {}",
                statement.period, statement.total
            ));
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
            if digest(body.as_bytes()) != hash {
                let finding = format!("document {id}: its text is not what was hashed");
                self.findings.push(finding);
            }
            self.checked += 1;
        }
        Ok(())
    }

    fn check_periods(&mut self, bounds: Bounds) -> Result<()> {
        let names = self.store.names()?;
        for (period, dirty) in self.store.periods()? {
            if !dirty {
                self.check_period(period, bounds, &names)?;
                self.checked += 1;
            }
        }
        Ok(())
    }

    fn check_period(
        &mut self,
        period: Period,
        bounds: Bounds,
        names: &HashMap<u32, String>,
    ) -> Result<()> {
        let settled = carry_over::settle(&self.store.db, period, bounds)?;
        let stated = lines::stated(&self.store.db, period)?;
        for (key, counts) in adjustments(&settled.lines, &stated.lines) {
            let (tenant, class) = (names.get(&key.tenant), names.get(&key.class));
            self.findings.push(format!(
                "period {}: {tenant:?} {class:?}: statements differ from the records by {} uses",
                period.name(),
                counts.uses
            ));
        }
        Ok(())
    }
}
