//! Taking one batch into the store.

use super::header_ids::HeaderIds;
use super::run_progress::RunProgress;
use crate::join::JoinBounds;
use crate::period::Calendar;
use crate::store::database::Store;
use crate::store::error::Result;
use crate::store::{dirty, records, uncertainty};
use crate::wire::{entry::What, Batch, Damage, Entry, Record};
use rusqlite::{params, CachedStatement, Connection};

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
        let ids = HeaderIds::of(self, member, header)?;
        let run = ids.run;
        let transaction = self.begin()?;
        insert_damage(&transaction, run.member_id, &batch.damage)?;
        let tails_before = uncertainty::uncertain_tails(&transaction, Some(run.member_id))?;
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
        let tails_after = uncertainty::uncertain_tails(&transaction, Some(run.member_id))?;
        uncertainty::mark_changed_tails(&transaction, &tails_before, &tails_after, bounds)?;
        transaction.commit()?;
        Ok(ingested)
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
        if !self.insert_if_new(insert, record)? {
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

    /// False if the record was there already.
    fn insert_if_new(&self, insert: &mut CachedStatement<'_>, record: &Record) -> Result<bool> {
        let run = self.ids.run;
        let class = self.ids.class(record);
        let inserted = insert.execute(params![
            record.arrived_ms as i64,
            run.member_id,
            run.incarnation as i64,
            record.sequence as i64,
            self.ids.tenant_id(record),
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

fn insert_damage(db: &Connection, member_id: u32, damage: &[Damage]) -> Result<()> {
    for stretch in damage {
        db.execute(
            "INSERT OR IGNORE INTO damage VALUES (?, ?, ?, ?)",
            params![
                member_id,
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
