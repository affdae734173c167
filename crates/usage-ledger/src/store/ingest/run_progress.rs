//! Progress of the collection of one run of a member: a row of the table `position`.

use crate::store::error::Result;
use crate::store::uncertainty::RunKey;
use crate::wire::Mark;
use rusqlite::{params, Connection, OptionalExtension};

/// Progress of the collection of one run of a member.
pub(super) struct RunProgress {
    /// Highest sequence number of a collected record or watermark.
    last_sequence: i64,
    /// All records of the run from before this time are in the store; in Unix milliseconds.
    complete_until_ms: i64,
    /// Highest sequence number of a collected watermark.
    watermark_sequence: i64,
    /// Whether the closing watermark has been collected.
    has_ended: bool,
    /// Number of sequence numbers up to `last_sequence` for which no record has been collected.
    lost_records: i64,
}

impl RunProgress {
    pub(super) fn load(db: &Connection, run: RunKey) -> Result<RunProgress> {
        let select =
            "SELECT sequence, complete, marked, ended, lost FROM position WHERE member = ? AND incarnation = ?";
        let stored = db.query_row(
            select,
            params![run.member_id, run.incarnation as i64],
            |row| {
                Ok(RunProgress {
                    last_sequence: row.get(0)?,
                    complete_until_ms: row.get(1)?,
                    watermark_sequence: row.get(2)?,
                    has_ended: row.get(3)?,
                    lost_records: row.get(4)?,
                })
            },
        );
        Ok(stored.optional()?.unwrap_or(RunProgress {
            last_sequence: 0,
            complete_until_ms: i64::MIN,
            watermark_sequence: 0,
            has_ended: false,
            lost_records: 0,
        }))
    }

    pub(super) fn save(&self, db: &Connection, run: RunKey) -> Result<()> {
        db.execute(
            "INSERT OR REPLACE INTO position VALUES (?, ?, ?, ?, ?, ?, ?)",
            params![
                run.member_id,
                run.incarnation as i64,
                self.last_sequence,
                self.complete_until_ms,
                self.watermark_sequence,
                self.has_ended,
                self.lost_records
            ],
        )?;
        Ok(())
    }

    /// Updates the progress for a new record. Records whose sequence numbers were skipped count as
    /// lost until they are collected.
    pub(super) fn on_record(&mut self, sequence: i64) {
        let expected = self.last_sequence + 1;
        self.lost_records += if sequence >= expected {
            sequence - expected
        } else {
            -1
        };
        self.last_sequence = self.last_sequence.max(sequence);
    }

    /// Updates the progress for a watermark. Records before the watermark that were not collected
    /// count as lost until they are collected.
    pub(super) fn on_watermark(&mut self, watermark: &Mark) {
        let sequence = watermark.sequence as i64;
        self.lost_records += (sequence - self.last_sequence).max(0);
        self.last_sequence = self.last_sequence.max(sequence);
        self.watermark_sequence = self.watermark_sequence.max(sequence);
        self.complete_until_ms = self.complete_until_ms.max(watermark.complete_ms as i64);
        self.has_ended |= watermark.end;
    }
}
