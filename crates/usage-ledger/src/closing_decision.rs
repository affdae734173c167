//! When a period may close.
//!
//! Pure: no I/O and no clock.

use crate::join::JoinBounds;
use crate::period::Period;

/// Up to which time the records of an aggregator are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The aggregator's name.
    pub member: String,
    /// Its records are complete before this time, in Unix milliseconds; `None` if nothing was
    /// ever collected from it.
    pub complete_until_ms: Option<i64>,
}

impl MemberProgress {
    /// Whether all records that arrived before `until_ms` are known.
    fn is_complete_until(&self, until_ms: i64) -> bool {
        self.complete_until_ms
            .is_some_and(|complete_until_ms| complete_until_ms >= until_ms)
    }
}

/// Whether a period may close.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClosingDecision {
    /// It waits for the records of these members, until the grace period is over.
    Wait(Vec<String>),
    /// All records are known.
    Complete,
    /// The grace period is over; the records of these members are missing.
    Incomplete(Vec<String>),
}

/// Whether `period` may close at `now_ms`, given the members that took part in it.
///
/// Times are in Unix milliseconds; `grace_ms` is a duration.
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
        // A member whose clock is ahead must not close a period in which others still serve.
        ClosingDecision::Wait(missing)
    } else if missing.is_empty() {
        ClosingDecision::Complete
    } else if now_ms >= until_ms.saturating_add(grace_ms) {
        ClosingDecision::Incomplete(missing)
    } else {
        ClosingDecision::Wait(missing)
    }
}
