//! Settling periods: when one may close, what it counts, and what late records change.
//!
//! Pure: no I/O and no clock.

use crate::join::{Joiner, LogicalRequest, RecordId, UsageRecord};
use crate::period::Period;
use crate::rate::UsageCounts;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Times in milliseconds that joining goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinBounds {
    /// The longest after a first request that a retry may arrive.
    pub horizon_ms: i64,
    /// The most that two aggregators' clocks differ.
    pub skew_ms: i64,
}

impl JoinBounds {
    /// The arrivals that settling a period has to read, in Unix milliseconds.
    pub fn arrivals(&self, period: Period) -> Range<i64> {
        let from_ms = period.start_ms.saturating_sub(self.skew_ms);
        let until_ms = period.end_ms.saturating_add(self.lookahead_ms());
        from_ms..until_ms
    }

    /// How far past its end settling a period reads, in milliseconds.
    pub fn lookahead_ms(&self) -> i64 {
        self.horizon_ms
            .saturating_add(3 * self.skew_ms)
            .saturating_add(1)
    }
}

/// Up to when an aggregator's records are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The aggregator's name.
    pub member: String,
    /// Its records are complete before this time, in Unix milliseconds; `None` if it was never
    /// heard of.
    pub complete_until_ms: Option<i64>,
}

/// Whether a period may close.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClosingDecision {
    /// Not before these members are complete, or the grace period is over.
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
        .filter(|member| {
            member
                .complete_until_ms
                .is_none_or(|complete_until_ms| complete_until_ms < until_ms)
        })
        .map(|member| member.member.clone())
        .collect();
    if now_ms < until_ms {
        // A member whose clock is ahead must not close a period for those that have yet to serve in
        // it.
        ClosingDecision::Wait(missing)
    } else if missing.is_empty() {
        ClosingDecision::Complete
    } else if now_ms >= until_ms.saturating_add(grace_ms) {
        ClosingDecision::Incomplete(missing)
    } else {
        ClosingDecision::Wait(missing)
    }
}

/// What a line counts: the usage of one tenant in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineKey {
    /// The tenant, by number.
    pub tenant: u32,
    /// The class, by number.
    pub class: u32,
}

/// The lines of a period.
pub type LineCounts = BTreeMap<LineKey, UsageCounts>;

/// What settling one period tells the settling of the next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CarryOver {
    /// Records near or past the period's end that belong to its logical requests, and to none of
    /// the next period's.
    pub carried: BTreeSet<RecordId>,
    /// Retries of later requests that could have joined a request of this period.
    pub ambiguous_retries: BTreeSet<RecordId>,
}

/// What a period comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledPeriod {
    /// Its counts.
    pub lines: LineCounts,
    /// What the next period has to know.
    pub carry_over: CarryOver,
    /// First records of logical requests with an ambiguous join.
    pub ambiguous: Vec<RecordId>,
}

/// Settles one period.
///
/// Takes the records that arrived in the range of [`JoinBounds::arrivals`], in the order of
/// [`UsageRecord::id`], and ignores those that the period before has carried over.
pub struct PeriodSettler {
    carried_in: BTreeSet<RecordId>,
    joiner: Joiner,
    count: PeriodCount,
}

/// Counts the logical requests of one period.
struct PeriodCount {
    period: Period,
    /// From here on, in Unix milliseconds, a record may also be read for the next period.
    carry_from_ms: i64,
    /// Up to here, in Unix milliseconds, a retry may be of a request of this period.
    retry_until_ms: i64,
    settled: SettledPeriod,
}

impl PeriodSettler {
    /// Begins to settle `period`, after the period before has told what it carries over.
    pub fn new(period: Period, bounds: JoinBounds, before: CarryOver) -> PeriodSettler {
        let JoinBounds {
            horizon_ms,
            skew_ms,
        } = bounds;
        PeriodSettler {
            carried_in: before.carried,
            joiner: Joiner::with_ambiguous(skew_ms, horizon_ms, before.ambiguous_retries),
            count: PeriodCount {
                period,
                carry_from_ms: period.end_ms.saturating_sub(skew_ms),
                retry_until_ms: period
                    .end_ms
                    .saturating_add(horizon_ms)
                    .saturating_add(skew_ms),
                settled: SettledPeriod::default(),
            },
        }
    }

    /// Takes the next record.
    pub fn push(&mut self, record: UsageRecord) {
        if self.carried_in.contains(&record.id()) {
            return;
        }
        let count = &mut self.count;
        self.joiner.push(record, &mut |request| count.add(&request));
    }

    /// What the period comes to: no more records come.
    pub fn finish(mut self) -> SettledPeriod {
        let count = &mut self.count;
        self.joiner.finish(&mut |request| count.add(&request));
        self.count.settled
    }
}

impl PeriodCount {
    fn add(&mut self, request: &LogicalRequest) {
        let first = request.first();
        let SettledPeriod {
            lines,
            carry_over,
            ambiguous,
        } = &mut self.settled;
        if first.arrived_at_ms >= self.period.end_ms {
            let retries = request.ambiguous.iter();
            let retries = retries.filter(|id| id.arrived_at_ms <= self.retry_until_ms);
            carry_over.ambiguous_retries.extend(retries);
            return;
        }
        let key = LineKey {
            tenant: first.tenant,
            class: first.class,
        };
        lines.entry(key).or_default().add(request);
        let records = request.records.iter();
        let near_end = records.filter(|record| record.arrived_at_ms >= self.carry_from_ms);
        carry_over.carried.extend(near_end.map(UsageRecord::id));
        if !request.ambiguous.is_empty() {
            ambiguous.push(first.id());
        }
    }
}

/// What has to be put right of a closed period: what it comes to now, less what statements have
/// counted so far.
pub fn adjustments(now: &LineCounts, stated: &LineCounts) -> LineCounts {
    let keys: BTreeSet<LineKey> = now.keys().chain(stated.keys()).copied().collect();
    let counts = |lines: &LineCounts, key: &LineKey| lines.get(key).copied().unwrap_or_default();
    keys.into_iter()
        .map(|key| (key, counts(now, &key) - counts(stated, &key)))
        .filter(|(_, difference)| !difference.is_zero())
        .collect()
}
