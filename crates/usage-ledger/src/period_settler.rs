//! What a period counts, and what its settlement passes on to that of the next period.
//!
//! Pure: no I/O and no clock.

use crate::join::{JoinBounds, Joiner, LogicalRequest, RecordId, UsageRecord};
use crate::line_counts::{LineCounts, LineKey};
use crate::period::Period;
use std::collections::BTreeSet;

/// The results of settling one period that settling the next one depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CarryOver {
    /// Records near or after the end of the period that belong to its logical requests, and so to
    /// none of the next period.
    pub carried: BTreeSet<RecordId>,
    /// Retries of later requests that could have joined a request of this period.
    pub ambiguous_retries: BTreeSet<RecordId>,
}

/// The result of settling a period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledPeriod {
    /// Its counts.
    pub lines: LineCounts,
    /// What the next period depends on.
    pub carry_over: CarryOver,
    /// The first records of logical requests with an ambiguous join.
    pub ambiguous: Vec<RecordId>,
}

/// Settles one period.
///
/// Takes the records that arrived in the range of [`JoinBounds::arrivals`], in the order of
/// [`UsageRecord::id`], and ignores those that the previous period has carried over.
pub struct PeriodSettler {
    carried_in: BTreeSet<RecordId>,
    joiner: Joiner,
    count: PeriodCount,
}

/// Counts the logical requests of one period.
struct PeriodCount {
    period: Period,
    /// Records that arrive from this time on may also be read for the next period, in Unix
    /// milliseconds.
    carry_from_ms: i64,
    /// Retries that arrive up to this time may belong to a request of this period, in Unix
    /// milliseconds.
    retry_until_ms: i64,
    settled: SettledPeriod,
}

impl PeriodSettler {
    /// Starts to settle `period`; `before` is what the previous period carries over.
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

    /// The result, after the last record.
    pub fn finish(mut self) -> SettledPeriod {
        let count = &mut self.count;
        self.joiner.finish(&mut |request| count.add(&request));
        self.count.settled
    }
}

impl PeriodCount {
    fn add(&mut self, request: &LogicalRequest) {
        if request.first().arrived_at_ms < self.period.end_ms {
            self.count(request);
            self.carry_records(request);
        } else {
            self.carry_ambiguous_retries(request);
        }
    }

    /// Counts a request of this period.
    fn count(&mut self, request: &LogicalRequest) {
        let first = request.first();
        let key = LineKey {
            tenant_id: first.tenant_id,
            class_id: first.class_id,
        };
        self.settled.lines.entry(key).or_default().add(request);
        if !request.ambiguous.is_empty() {
            self.settled.ambiguous.push(first.id());
        }
    }

    /// Keeps the records of a request of this period from being counted in the next one.
    fn carry_records(&mut self, request: &LogicalRequest) {
        let records = request.records.iter();
        let near_end = records.filter(|record| record.arrived_at_ms >= self.carry_from_ms);
        let carried = &mut self.settled.carry_over.carried;
        carried.extend(near_end.map(UsageRecord::id));
    }

    /// Keeps the ambiguous retries of a later request that could belong to one of this period.
    fn carry_ambiguous_retries(&mut self, request: &LogicalRequest) {
        let retries = request.ambiguous.iter();
        let in_reach = retries.filter(|id| id.arrived_at_ms <= self.retry_until_ms);
        self.settled.carry_over.ambiguous_retries.extend(in_reach);
    }
}
