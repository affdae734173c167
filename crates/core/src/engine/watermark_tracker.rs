//! The sequence numbers of the usage records, and the time up to which the records are complete.

use super::usage::UsageWatermark;
use crate::api::{Nanos, RequestId};
use std::collections::BTreeSet;

/// Numbers the usage records and computes the watermarks.
#[derive(Debug)]
pub(super) struct WatermarkTracker {
    /// Time between two watermarks, in nanoseconds.
    interval: Nanos,
    last_sequence: u64,
    /// Time up to which the records have been declared complete.
    complete_until: Nanos,
    /// Open queries, ordered by their effective time of arrival.
    open: BTreeSet<(Nanos, RequestId)>,
}

impl WatermarkTracker {
    pub(super) fn new(interval: Nanos) -> WatermarkTracker {
        WatermarkTracker {
            interval,
            last_sequence: 0,
            complete_until: 0,
            open: BTreeSet::new(),
        }
    }

    pub(super) fn interval(&self) -> Nanos {
        self.interval
    }

    /// Returns the time at which a query counts as arrived. That time is not before the one up to
    /// which the records were declared complete, even if the query arrived earlier and had to wait
    /// for this batch.
    pub(super) fn effective_arrival(&self, arrived_at: Nanos) -> Nanos {
        arrived_at.max(self.complete_until)
    }

    /// Registers an open query by its effective time of arrival.
    pub(super) fn insert(&mut self, arrived_at: Nanos, id: RequestId) {
        self.open.insert((arrived_at, id));
    }

    /// Removes a query that is no longer open.
    pub(super) fn remove(&mut self, arrived_at: Nanos, id: RequestId) {
        self.open.remove(&(arrived_at, id));
    }

    /// Returns the sequence number of the next record.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Declares the records complete up to the arrival of the oldest open query, or up to `now` if
    /// no query is open. Returns the new watermark.
    pub(super) fn advance(&mut self, now: Nanos) -> UsageWatermark {
        let oldest = self.open.first().map_or(now, |(arrived_at, _)| *arrived_at);
        self.complete_until = self.complete_until.max(oldest);
        self.watermark()
    }

    /// Returns the watermark after which no further record follows.
    pub(super) fn final_watermark(&self) -> UsageWatermark {
        UsageWatermark {
            is_final: true,
            ..self.watermark()
        }
    }

    fn watermark(&self) -> UsageWatermark {
        UsageWatermark {
            sequence: self.last_sequence,
            complete_until: self.complete_until,
            is_final: false,
        }
    }
}
