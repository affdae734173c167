//! Runs of members that ended without a closing watermark, for example in a crash. The last replies
//! of such a run may not have been sent, so retries may belong to requests that are recorded as
//! answered.
//!
//! Transaction boundary: none; all functions run in the transaction of the caller.

use super::error::Result;
use crate::join::JoinBounds;
use rusqlite::{params, Connection};
use std::collections::{BTreeSet, HashMap};

/// Identity of one run of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct RunKey {
    pub(super) member_id: u32,
    pub(super) incarnation: u64,
}

/// The uncertain tail of a run: its last records, for which the replies may not have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UncertainTail {
    /// Sequence number of the last record before the tail.
    pub(super) after_sequence: u64,
    /// Earliest possible arrival time of a record in the tail, in Unix milliseconds.
    pub(super) since_ms: i64,
}

pub(super) type UncertainTails = HashMap<RunKey, UncertainTail>;

/// Returns the uncertain tails of one member, or of all members if `member_id` is `None`.
///
/// A run has an uncertain tail if it has no closing watermark although a later run of the same
/// member has started. The tail consists of the records after the last watermark.
pub(super) fn uncertain_tails(db: &Connection, member_id: Option<u32>) -> Result<UncertainTails> {
    let mut select = db.prepare_cached(
        "SELECT member, incarnation, marked, complete FROM position p WHERE NOT ended AND member = coalesce(?, member)
           AND EXISTS (SELECT 1 FROM position o WHERE o.member = p.member AND o.incarnation > p.incarnation)",
    )?;
    let tails = select.query_map([member_id], |row| {
        let run = RunKey {
            member_id: row.get(0)?,
            incarnation: row.get(1)?,
        };
        let tail = UncertainTail {
            after_sequence: row.get(2)?,
            since_ms: row.get(3)?,
        };
        Ok((run, tail))
    })?;
    Ok(tails.collect::<rusqlite::Result<_>>()?)
}

/// Marks as dirty the closed periods whose settlement reads records of a tail that has changed
/// between `before` and `after`, since retries may now join other logical requests.
pub(super) fn mark_changed_tails(
    db: &Connection,
    before: &UncertainTails,
    after: &UncertainTails,
    bounds: JoinBounds,
) -> Result<()> {
    let runs: BTreeSet<RunKey> = before.keys().chain(after.keys()).copied().collect();
    for run in runs {
        let (old, new) = (before.get(&run), after.get(&run));
        if old == new {
            continue;
        }
        let tails = || [old, new].into_iter().flatten();
        let after_sequence = tails().map(|tail| tail.after_sequence).min();
        let since_ms = tails().map(|tail| tail.since_ms).min();
        let changed = UncertainTail {
            after_sequence: after_sequence.unwrap_or_default(),
            since_ms: since_ms.unwrap_or_default(),
        };
        mark_tail(db, run, changed, bounds)?;
    }
    Ok(())
}

fn mark_tail(db: &Connection, run: RunKey, tail: UncertainTail, bounds: JoinBounds) -> Result<()> {
    db.execute(
        "UPDATE period SET dirty = 1 WHERE end + ?6 > ?4 AND EXISTS (SELECT 1 FROM record
           WHERE at >= max(start - ?5, ?4) AND at < end + ?6 AND member = ?1 AND incarnation = ?2 AND sequence > ?3)",
        params![
            run.member_id,
            run.incarnation as i64,
            tail.after_sequence as i64,
            tail.since_ms,
            bounds.skew_ms,
            bounds.lookahead_ms()
        ],
    )?;
    Ok(())
}
