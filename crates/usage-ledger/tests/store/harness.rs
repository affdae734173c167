//! A store in a temporary directory, and records for it.

use std::collections::BTreeMap;
use std::path::PathBuf;
use usage_ledger::join::JoinBounds;
use usage_ledger::period::{Calendar, Period, PeriodLength};
use usage_ledger::settings::Price;
use usage_ledger::statement::Statement;
use usage_ledger::store::{ClosingTerms, IngestSummary, Store};
use usage_ledger::wire::{entry::What, Batch, Class, Entry, Header, Mark, Outcome, Record};

pub const BOUNDS: JoinBounds = JoinBounds {
    horizon_ms: 150,
    skew_ms: 20,
};
pub const PERIOD_MS: i64 = 1000;
/// Start of the period with number 0, in Unix milliseconds.
pub const FIRST_MS: i64 = 1_000_000;

pub fn calendar() -> Calendar {
    Calendar(PeriodLength::Milliseconds(PERIOD_MS))
}

/// Returns the period with this number. Numbers count from [`FIRST_MS`] and may be negative.
pub fn period(number: i64) -> Period {
    Period {
        start_ms: FIRST_MS + number * PERIOD_MS,
        end_ms: FIRST_MS + (number + 1) * PERIOD_MS,
    }
}

/// A store in a temporary directory.
pub struct StoreHarness {
    /// Deletes the directory when the harness is dropped.
    _folder: tempfile::TempDir,
    pub path: PathBuf,
    pub store: Store,
    prices: BTreeMap<String, Price>,
    allowances: BTreeMap<String, u64>,
}

impl StoreHarness {
    pub fn new() -> StoreHarness {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("ledger.sqlite");
        let store = Store::open(&path).unwrap();
        let prices = BTreeMap::from([(
            "c".to_string(),
            Price {
                complete: 10,
                partial: 7,
            },
        )]);
        StoreHarness {
            _folder: folder,
            path,
            store,
            prices,
            allowances: BTreeMap::from([("t".to_string(), 1)]),
        }
    }

    /// Opens the store again, like a process that restarts after a crash.
    pub fn restart(&mut self) {
        self.store = Store::open(&self.path).unwrap();
    }

    pub fn ingest(&mut self, member: &str, batch: &Batch) -> IngestSummary {
        self.store
            .ingest(member, batch, &calendar(), BOUNDS)
            .unwrap()
    }

    /// Closes the period with this number; `missing` names the members whose records are missing.
    pub fn close(&mut self, period_number: i64, missing: &[&str]) -> Statement {
        let missing: Vec<String> = missing.iter().map(|name| name.to_string()).collect();
        let terms = ClosingTerms {
            bounds: BOUNDS,
            prices: &self.prices,
            allowances: &self.allowances,
            members: vec!["n0".into(), "n1".into()],
            missing: &missing,
            now_ms: FIRST_MS + 100 * PERIOD_MS,
        };
        self.store
            .close_period(period(period_number), &terms)
            .unwrap()
    }

    /// Asserts that the verification of the store finds no fault.
    pub fn assert_verified(&self) {
        let report = self.store.verify(BOUNDS).unwrap();
        assert!(
            report.checked > 0 && report.faults.is_empty(),
            "expected at least one checked item and no faults: {report:?}"
        );
    }
}

pub fn header(incarnation: u64, tenants: &[&str]) -> Option<Header> {
    let classes = vec![Class {
        name: "c".into(),
        give_up_ms: 100,
    }];
    let tenants = tenants.iter().map(|name| name.to_string()).collect();
    Some(Header {
        version: 1,
        mixer: "n0".into(),
        incarnation,
        first_sequence: 1,
        classes,
        tenants,
    })
}

pub fn batch(incarnation: u64, entries: Vec<What>) -> Batch {
    let entries = entries
        .into_iter()
        .map(|what| Entry { what: Some(what) })
        .collect();
    Batch {
        header: header(incarnation, &["t", "u"]),
        entries,
        damage: Vec::new(),
    }
}

pub fn complete_record(sequence: u64, arrived_at_ms: i64, key: u64) -> Record {
    Record {
        key,
        parts: 1,
        attempts: 1,
        sequence,
        arrived_ms: arrived_at_ms as u64,
        outcome: Outcome::Whole.into(),
        ..Record::default()
    }
}

pub fn retry(record: Record) -> What {
    What::Record(Record {
        repeat: true,
        ..record
    })
}

pub fn rejected(sequence: u64, arrived_at_ms: i64, key: u64) -> What {
    What::Record(Record {
        outcome: Outcome::Refused.into(),
        ..complete_record(sequence, arrived_at_ms, key)
    })
}

pub fn watermark(sequence: u64, complete_until_ms: i64, is_closing: bool) -> What {
    What::Mark(Mark {
        sequence,
        complete_ms: complete_until_ms as u64,
        end: is_closing,
    })
}

/// Returns the number of logical requests in the lines of the statement's own period.
pub fn own_requests(statement: &Statement) -> i64 {
    let lines = statement.lines.iter();
    lines
        .filter(|line| !line.is_adjustment)
        .map(|line| line.counts.requests)
        .sum()
}

/// Returns the number of logical requests that a statement adds to earlier periods; negative if it
/// subtracts some.
pub fn adjusted_requests(statement: &Statement) -> i64 {
    let lines = statement.lines.iter();
    lines
        .filter(|line| line.is_adjustment)
        .map(|line| line.counts.requests)
        .sum()
}
