//! Decides when a period may close.
//!
//! This module is pure: it does no I/O and reads no clock.

use crate::join::JoinBounds;
use crate::period::Period;

/// Progress of the collection from one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// Name of the member in the settings (`[member NAME]`).
    pub member: String,
    /// Time before which all records have been collected, in Unix milliseconds; `None` if nothing
    /// was ever collected.
    pub complete_until_ms: Option<i64>,
}

impl MemberProgress {
    /// Returns whether all records that arrived before `until_ms` have been collected.
    fn is_complete_until(&self, until_ms: i64) -> bool {
        self.complete_until_ms
            .is_some_and(|complete_until_ms| complete_until_ms >= until_ms)
    }
}

/// Decision on whether a period may close.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClosingDecision {
    /// The period can't close yet. Names the members whose records are missing.
    Wait(Vec<String>),
    /// The period may close: the records of all members have been collected.
    Complete,
    /// The period may close although records of these members are missing, since the grace period
    /// is over.
    Incomplete(Vec<String>),
}

/// Decides whether `period` may close at `now_ms` (Unix milliseconds). `members` is the progress of
/// all members that were configured during the period. `grace_ms` is the grace period, in
/// milliseconds.
pub fn decide_closing(
    period: Period,
    bounds: JoinBounds,
    grace_ms: i64,
    now_ms: i64,
    members: &[MemberProgress],
) -> ClosingDecision {
    let until_ms = bounds.arrivals(period).end;
    let missing: Vec<String> = members
        .iter()
        .filter(|member| !member.is_complete_until(until_ms))
        .map(|member| member.member.clone())
        .collect();
    if now_ms < until_ms {
        // If the clock of a member is ahead, so are its watermarks: the period must not close while
        // other members may still record requests in it.
        ClosingDecision::Wait(missing)
    } else if missing.is_empty() {
        ClosingDecision::Complete
    } else if now_ms >= until_ms.saturating_add(grace_ms) {
        ClosingDecision::Incomplete(missing)
    } else {
        ClosingDecision::Wait(missing)
    }
}
