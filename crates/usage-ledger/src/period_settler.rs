//! What a period counts, and what its settlement passes on to that of the next period.
//!
//! Pure: no I/O and no clock.

use crate::join::{JoinBounds, Joiner, LogicalRequest, RecordId, UsageRecord};
use crate::line_counts::{LineCounts, LineKey};
use crate::period::Period;
use std::collections::BTreeSet;

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
        PeriodSettler {
            carried_in: before.carried,
            joiner: Joiner::with_ambiguous(bounds, before.ambiguous_retries),
            count: PeriodCount {
                period,
                carry_from_ms: period.end_ms.saturating_sub(bounds.skew_ms),
                retry_until_ms: period
                    .end_ms
                    .saturating_add(bounds.horizon_ms)
                    .saturating_add(bounds.skew_ms),
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
            tenant_id: first.tenant_id,
            class_id: first.class_id,
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
