//! Settles one period: counts its logical requests, and determines which records the settlement of
//! the next period must treat differently.
//!
//! This module is pure: it does no I/O and reads no clock.

use crate::join::{JoinBounds, Joiner, LogicalRequest, RecordId, UsageRecord};
use crate::line_counts::{LineCounts, LineKey};
use crate::period::Period;
use std::collections::BTreeSet;

/// Results of settling one period that the settlement of the next period depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CarryOver {
    /// Records near or after the end of the period that belong to its logical requests. The next
    /// period must not count them.
    pub carried: BTreeSet<RecordId>,
    /// Retries that joined a request of a later period, but could also have joined one of this
    /// period.
    pub ambiguous_retries: BTreeSet<RecordId>,
}

/// Result of settling a period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledPeriod {
    /// Counts of the period by tenant and class.
    pub lines: LineCounts,
    /// Input to the settlement of the next period.
    pub carry_over: CarryOver,
    /// First records of the logical requests that contain an ambiguous retry.
    pub ambiguous: Vec<RecordId>,
}

/// Settles one period.
///
/// The records that arrived in the range of [`JoinBounds::arrivals`] are pushed in the order of
/// [`UsageRecord::id`]. Records that the previous period has carried over are ignored.
pub struct PeriodSettler {
    /// Records that belong to logical requests of the previous period.
    carried_in: BTreeSet<RecordId>,
    joiner: Joiner,
    count: PeriodCount,
}

/// Counts the logical requests of one period.
struct PeriodCount {
    period: Period,
    /// Earliest arrival time of the records that are also read for the next period, in Unix
    /// milliseconds.
    carry_from_ms: i64,
    /// Latest arrival time of a retry that may belong to a request of this period, in Unix
    /// milliseconds.
    retry_until_ms: i64,
    settled: SettledPeriod,
}

impl PeriodSettler {
    /// Starts the settlement of `period`; `previous` is the carry-over of the previous period.
    pub fn new(period: Period, bounds: JoinBounds, previous: CarryOver) -> PeriodSettler {
        PeriodSettler {
            carried_in: previous.carried,
            joiner: Joiner::with_ambiguous(bounds, previous.ambiguous_retries),
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

    /// Adds the next record, unless the previous period has carried it over.
    pub fn push(&mut self, record: UsageRecord) {
        if self.carried_in.contains(&record.id()) {
            return;
        }
        let count = &mut self.count;
        self.joiner.push(record, &mut |request| count.add(&request));
    }

    /// Returns the result. Must be called after the last record was pushed.
    pub fn finish(mut self) -> SettledPeriod {
        let count = &mut self.count;
        self.joiner.finish(&mut |request| count.add(&request));
        self.count.settled
    }
}

impl PeriodCount {
    /// Counts a request of this period. A request of a later period contributes only to the
    /// carry-over.
    fn add(&mut self, request: &LogicalRequest) {
        if request.first().arrived_at_ms < self.period.end_ms {
            self.count(request);
            self.carry_records(request);
        } else {
            self.carry_ambiguous_retries(request);
        }
    }

    /// Adds a request of this period to the counts.
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

    /// Carries over the records of a request of this period that are also read for the next period,
    /// so that the next period does not count them again.
    fn carry_records(&mut self, request: &LogicalRequest) {
        let records = request.records.iter();
        let near_end = records.filter(|record| record.arrived_at_ms >= self.carry_from_ms);
        let carried = &mut self.settled.carry_over.carried;
        carried.extend(near_end.map(UsageRecord::id));
    }

    /// Carries over the ambiguous retries of a later request that could belong to a request of this
    /// period.
    fn carry_ambiguous_retries(&mut self, request: &LogicalRequest) {
        let retries = request.ambiguous.iter();
        let candidates = retries.filter(|id| id.arrived_at_ms <= self.retry_until_ms);
        self.settled.carry_over.ambiguous_retries.extend(candidates);
    }
}
