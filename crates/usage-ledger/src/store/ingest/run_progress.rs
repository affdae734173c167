//! How far one run of a member is known: a row of the table `position`.

use crate::store::error::Result;
use crate::store::uncertainty::RunKey;
use crate::wire::Mark;
use rusqlite::{params, Connection, OptionalExtension};

/// How far one run of a member is known.
pub(super) struct RunProgress {
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

impl RunProgress {
    pub(super) fn load(db: &Connection, run: RunKey) -> Result<RunProgress> {
        let select =
            "SELECT sequence, complete, marked, ended, lost FROM position WHERE member = ? AND incarnation = ?";
        let stored = db.query_row(
            select,
            params![run.member_id, run.incarnation as i64],
            |row| {
                Ok(RunProgress {
                    sequence: row.get(0)?,
                    complete_until_ms: row.get(1)?,
                    marked: row.get(2)?,
                    ended: row.get(3)?,
                    lost_records: row.get(4)?,
                })
            },
        );
        Ok(stored.optional()?.unwrap_or(RunProgress {
            sequence: 0,
            complete_until_ms: i64::MIN,
            marked: 0,
            ended: false,
            lost_records: 0,
        }))
    }

    pub(super) fn save(&self, db: &Connection, run: RunKey) -> Result<()> {
        db.execute(
            "INSERT OR REPLACE INTO position VALUES (?, ?, ?, ?, ?, ?, ?)",
            params![
                run.member_id,
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
    pub(super) fn on_record(&mut self, sequence: i64) {
        let expected = self.sequence + 1;
        self.lost_records += if sequence >= expected {
            sequence - expected
        } else {
            -1
        };
        self.sequence = self.sequence.max(sequence);
    }

    pub(super) fn on_mark(&mut self, mark: &Mark) {
        let sequence = mark.sequence as i64;
        self.lost_records += (sequence - self.sequence).max(0);
        self.sequence = self.sequence.max(sequence);
        self.marked = self.marked.max(sequence);
        self.complete_until_ms = self.complete_until_ms.max(mark.complete_ms as i64);
        self.ended |= mark.end;
    }
}
