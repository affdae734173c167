//! How far one run of a member has been collected: a row of the table `position`.

use crate::store::error::Result;
use crate::store::uncertainty::RunKey;
use crate::wire::Mark;
use rusqlite::{params, Connection, OptionalExtension};

/// How far one run of a member has been collected.
pub(super) struct RunProgress {
    /// The highest sequence number of a record or mark.
    last_sequence: i64,
    /// All records that arrived before this time are in the store, in Unix milliseconds.
    complete_until_ms: i64,
    /// The highest sequence number of a mark.
    marked_sequence: i64,
    /// Whether there is a closing mark.
    has_ended: bool,
    /// The number of records that were never written.
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
                    marked_sequence: row.get(2)?,
                    has_ended: row.get(3)?,
                    lost_records: row.get(4)?,
                })
            },
        );
        Ok(stored.optional()?.unwrap_or(RunProgress {
            last_sequence: 0,
            complete_until_ms: i64::MIN,
            marked_sequence: 0,
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
                self.marked_sequence,
                self.has_ended,
                self.lost_records
            ],
        )?;
        Ok(())
    }

    /// Counts a new record. The records between the last one and this one count as lost until they
    /// arrive.
    pub(super) fn on_record(&mut self, sequence: i64) {
        let expected = self.last_sequence + 1;
        self.lost_records += if sequence >= expected {
            sequence - expected
        } else {
            -1
        };
        self.last_sequence = self.last_sequence.max(sequence);
    }

    pub(super) fn on_mark(&mut self, mark: &Mark) {
        let sequence = mark.sequence as i64;
        self.lost_records += (sequence - self.last_sequence).max(0);
        self.last_sequence = self.last_sequence.max(sequence);
        self.marked_sequence = self.marked_sequence.max(sequence);
        self.complete_until_ms = self.complete_until_ms.max(mark.complete_ms as i64);
        self.has_ended |= mark.end;
    }
}
