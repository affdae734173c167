//! Taking records from members' logs.
//!
//! Transaction boundary: one transaction a batch holds its records and damage, the member's new
//! position, and the closed periods that the records make dirty. A batch that arrives again changes
//! nothing. Numbers for new names are committed before it; an unused one does no harm.

use super::database::{NameKind, Store};
use super::error::Result;
use super::uncertainty::{self, RunKey};
use super::{dirty, records};
use crate::join::JoinBounds;
use crate::period::Calendar;
use crate::wire::{entry::What, Batch, Damage, Entry, Header, Mark, Record};
use rusqlite::{params, CachedStatement, Connection, OptionalExtension};

/// Where an aggregator knows no tenants, all requests are of this one.
const DEFAULT_TENANT: &str = "all";
/// The class of records whose class the header does not name.
const UNKNOWN_CLASS: &str = "unknown";

/// What a batch of records came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IngestSummary {
    /// Records that were not in the store.
    pub new: u64,
    /// Records that were there already.
    pub known: u64,
    /// Of the new ones, those that a closed period should have seen.
    pub late: u64,
}

#[derive(Clone, Copy)]
struct ClassId {
    id: u32,
    client_timeout_ms: i64,
}

/// The numbers that a header's names have in the store.
struct HeaderIds {
    run: RunKey,
    tenants: Vec<u32>,
    default_tenant: u32,
    classes: Vec<ClassId>,
    unknown_class: ClassId,
}

/// How far one run of a member is known.
struct RunProgress {
    /// The last record.
    sequence: i64,
    /// All records before this time are known, in Unix milliseconds.
    complete_until_ms: i64,
    /// The last record that a mark has named.
    marked: i64,
    /// The run has said that it ended.
    ended: bool,
    /// Records that were never written.
    lost_records: i64,
}

impl Store {
    /// Takes a batch of a member's log.
    ///
    /// # Errors
    /// The store can't be written.
    pub fn ingest(
        &mut self,
        member: &str,
        batch: &Batch,
        calendar: &Calendar,
        bounds: JoinBounds,
    ) -> Result<IngestSummary> {
        let Some(header) = &batch.header else {
            return Ok(IngestSummary::default());
        };
        let ids = self.header_ids(member, header)?;
        let run = ids.run;
        let transaction = self.begin()?;
        insert_damage(&transaction, run.member, &batch.damage)?;
        let tails_before = uncertainty::uncertain_tails(&transaction, Some(run.member))?;
        let mut ingestion = Ingestion {
            db: &transaction,
            calendar,
            bounds,
            closed_until: closed_until(&transaction)?,
            progress: RunProgress::load(&transaction, run)?,
            ids,
            ingested: IngestSummary::default(),
        };
        ingestion.insert_entries(&batch.entries)?;
        let ingested = ingestion.ingested;
        ingestion.progress.save(&transaction, run)?;
        let tails_after = uncertainty::uncertain_tails(&transaction, Some(run.member))?;
        uncertainty::mark_changed_tails(&transaction, &tails_before, &tails_after, bounds)?;
        transaction.commit()?;
        Ok(ingested)
    }

    fn header_ids(&mut self, member: &str, header: &Header) -> Result<HeaderIds> {
        let member = self.name_id(NameKind::Member, member)?;
        let mut tenants = Vec::new();
        for tenant in &header.tenants {
            tenants.push(self.name_id(NameKind::Tenant, tenant)?);
        }
        let default_tenant = self.name_id(NameKind::Tenant, DEFAULT_TENANT)?;
        let mut classes = Vec::new();
        for class in &header.classes {
            classes.push(ClassId {
                id: self.name_id(NameKind::Class, &class.name)?,
                client_timeout_ms: class.give_up_ms as i64,
            });
        }
        let unknown_class = ClassId {
            id: self.name_id(NameKind::Class, UNKNOWN_CLASS)?,
            client_timeout_ms: 0,
        };
        Ok(HeaderIds {
            run: RunKey {
                member,
                incarnation: header.incarnation,
            },
            tenants,
            default_tenant,
            classes,
            unknown_class,
        })
    }
}

fn insert_damage(db: &Connection, member: u32, damage: &[Damage]) -> Result<()> {
    for stretch in damage {
        db.execute(
            "INSERT OR IGNORE INTO damage VALUES (?, ?, ?, ?)",
            params![
                member,
                stretch.segment,
                stretch.from as i64,
                stretch.to as i64
            ],
        )?;
    }
    Ok(())
}

/// The end of the last closed period, in Unix milliseconds.
fn closed_until(db: &Connection) -> Result<i64> {
    let select = "SELECT coalesce(max(end), ?) FROM period";
    Ok(db.query_row(select, [i64::MIN], |row| row.get(0))?)
}

impl RunProgress {
    fn load(db: &Connection, run: RunKey) -> Result<RunProgress> {
        let select =
            "SELECT sequence, complete, marked, ended, lost FROM position WHERE member = ? AND incarnation = ?";
        let stored = db.query_row(select, params![run.member, run.incarnation as i64], |row| {
            Ok(RunProgress {
                sequence: row.get(0)?,
                complete_until_ms: row.get(1)?,
                marked: row.get(2)?,
                ended: row.get(3)?,
                lost_records: row.get(4)?,
            })
        });
        Ok(stored.optional()?.unwrap_or(RunProgress {
            sequence: 0,
            complete_until_ms: i64::MIN,
            marked: 0,
            ended: false,
            lost_records: 0,
        }))
    }

    fn save(&self, db: &Connection, run: RunKey) -> Result<()> {
        db.execute(
            "INSERT OR REPLACE INTO position VALUES (?, ?, ?, ?, ?, ?, ?)",
            params![
                run.member,
                run.incarnation as i64,
                self.sequence,
                self.complete_until_ms,
                self.marked,
                self.ended,
                self.lost_records
            ],
        )?;
        Ok(())
    }

    /// A new record: those between the last one and this are lost, until they arrive after all.
    fn on_record(&mut self, sequence: i64) {
        let expected = self.sequence + 1;
        self.lost_records += if sequence >= expected {
            sequence - expected
        } else {
            -1
        };
        self.sequence = self.sequence.max(sequence);
    }

    fn on_mark(&mut self, mark: &Mark) {
        let sequence = mark.sequence as i64;
        self.lost_records += (sequence - self.sequence).max(0);
        self.sequence = self.sequence.max(sequence);
        self.marked = self.marked.max(sequence);
        self.complete_until_ms = self.complete_until_ms.max(mark.complete_ms as i64);
        self.ended |= mark.end;
    }
}

/// A batch that is being taken, within its transaction.
struct Ingestion<'a> {
    db: &'a Connection,
    calendar: &'a Calendar,
    bounds: JoinBounds,
    closed_until: i64,
    ids: HeaderIds,
    progress: RunProgress,
    ingested: IngestSummary,
}

impl Ingestion<'_> {
    fn insert_entries(&mut self, entries: &[Entry]) -> Result<()> {
        let mut insert = self.db.prepare_cached(
            "INSERT OR IGNORE INTO record VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
        )?;
        for entry in entries {
            match &entry.what {
                Some(What::Record(record)) => self.insert_record(&mut insert, record)?,
                Some(What::Mark(mark)) => self.progress.on_mark(mark),
                None => {}
            }
        }
        Ok(())
    }

    fn insert_record(&mut self, insert: &mut CachedStatement<'_>, record: &Record) -> Result<()> {
        if !self.ids.insert_record(insert, record)? {
            self.ingested.known += 1;
            return Ok(());
        }
        self.ingested.new += 1;
        self.progress.on_record(record.sequence as i64);
        let at = record.arrived_ms as i64;
        // A closed period has seen a while past its end, where its retries are.
        if at < self.closed_until.saturating_add(self.bounds.lookahead_ms()) {
            self.ingested.late += 1;
            dirty::mark_late_arrival(self.db, at, self.closed_until, self.calendar, self.bounds)?;
        }
        Ok(())
    }
}

impl HeaderIds {
    /// False if the record was there already.
    fn insert_record(&self, insert: &mut CachedStatement<'_>, record: &Record) -> Result<bool> {
        let tenant = self.tenants.get(record.tenant as usize);
        let class = self.classes.get(record.class as usize);
        let class = class.unwrap_or(&self.unknown_class);
        let inserted = insert.execute(params![
            record.arrived_ms as i64,
            self.run.member,
            self.run.incarnation as i64,
            record.sequence as i64,
            tenant.unwrap_or(&self.default_tenant),
            class.id,
            record.outcome,
            record.share,
            record.parts,
            record.attempts,
            record.crossed,
            records::flags(record),
            record.key as i64,
            class.client_timeout_ms
        ])?;
        Ok(inserted > 0)
    }
}
