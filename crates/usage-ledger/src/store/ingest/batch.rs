//! Stores one batch.

use super::header_ids::HeaderIds;
use super::run_progress::RunProgress;
use crate::join::JoinBounds;
use crate::period::Calendar;
use crate::store::database::Store;
use crate::store::error::Result;
use crate::store::{dirty, records, uncertainty};
use crate::wire::{entry::What, Batch, Damage, Entry, Record};
use rusqlite::{params, CachedStatement, Connection};

/// Numbers of records of an ingested batch, by what the ingestion did with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IngestSummary {
    /// Number of records that are new to the store.
    pub new: u64,
    /// Number of records that the store already had.
    pub known: u64,
    /// Number of new records that may change closed periods.
    pub late: u64,
}

impl Store {
    /// Stores a batch of the log of a member, and marks as dirty the closed periods that the batch
    /// may change. A batch without a header is ignored.
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
            closed_until_ms: closed_until_ms(&transaction)?,
            progress: RunProgress::load(&transaction, run)?,
            ids,
            summary: IngestSummary::default(),
        };
        ingestion.insert_entries(&batch.entries)?;
        let summary = ingestion.summary;
        ingestion.progress.save(&transaction, run)?;
        let tails_after = uncertainty::uncertain_tails(&transaction, Some(run.member_id))?;
        uncertainty::mark_changed_tails(&transaction, &tails_before, &tails_after, bounds)?;
        transaction.commit()?;
        Ok(summary)
    }
}

/// The ingestion of one batch, within its transaction.
struct Ingestion<'a> {
    db: &'a Connection,
    calendar: &'a Calendar,
    bounds: JoinBounds,
    closed_until_ms: i64,
    ids: HeaderIds,
    progress: RunProgress,
    summary: IngestSummary,
}

impl Ingestion<'_> {
    fn insert_entries(&mut self, entries: &[Entry]) -> Result<()> {
        let mut insert = self.db.prepare_cached(
            "INSERT OR IGNORE INTO record VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
        )?;
        for entry in entries {
            match &entry.what {
                Some(What::Record(record)) => self.insert_record(&mut insert, record)?,
                Some(What::Mark(watermark)) => self.progress.on_watermark(watermark),
                None => {}
            }
        }
        Ok(())
    }

    fn insert_record(&mut self, insert: &mut CachedStatement<'_>, record: &Record) -> Result<()> {
        if !self.insert_if_new(insert, record)? {
            self.summary.known += 1;
            return Ok(());
        }
        self.summary.new += 1;
        self.progress.on_record(record.sequence as i64);
        let arrived_at_ms = record.arrived_ms as i64;
        // Settling a period also reads the retries that arrive after its end.
        let lookahead_ms = self.bounds.lookahead_ms();
        let settled_until_ms = self.closed_until_ms.saturating_add(lookahead_ms);
        if arrived_at_ms < settled_until_ms {
            self.summary.late += 1;
            dirty::mark_late_arrival(
                self.db,
                arrived_at_ms,
                self.closed_until_ms,
                self.calendar,
                self.bounds,
            )?;
        }
        Ok(())
    }

    /// Inserts a record. Returns `false` if the store already had it.
    fn insert_if_new(&self, insert: &mut CachedStatement<'_>, record: &Record) -> Result<bool> {
        let run = self.ids.run;
        let class = self.ids.class(record);
        let inserted_rows = insert.execute(params![
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
        Ok(inserted_rows > 0)
    }
}

fn insert_damage(db: &Connection, member_id: u32, damage: &[Damage]) -> Result<()> {
    for range in damage {
        db.execute(
            "INSERT OR IGNORE INTO damage VALUES (?, ?, ?, ?)",
            params![member_id, range.segment, range.from as i64, range.to as i64],
        )?;
    }
    Ok(())
}

/// Returns the end of the last closed period, in Unix milliseconds; `i64::MIN` if none was closed.
fn closed_until_ms(db: &Connection) -> Result<i64> {
    let select = "SELECT coalesce(max(end), ?) FROM period";
    Ok(db.query_row(select, [i64::MIN], |row| row.get(0))?)
}
