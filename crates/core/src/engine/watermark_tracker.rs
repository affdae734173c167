//! The sequence of the usage records, and up to when they are complete.

use super::usage::UsageWatermark;
use crate::api::{Nanos, RequestId};
use std::collections::BTreeSet;

/// Numbers the usage records and computes the watermarks.
#[derive(Debug)]
pub(super) struct WatermarkTracker {
    /// The time between two watermarks.
    interval: Nanos,
    last_sequence: u64,
    /// Up to when the records were declared complete.
    complete_until: Nanos,
    /// The open queries, by the time of their arrival.
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

    /// When a query counts as arrived: not in the time that was declared complete, even if it
    /// arrived then and had to wait for this batch.
    pub(super) fn effective_arrival(&self, arrived_at: Nanos) -> Nanos {
        arrived_at.max(self.complete_until)
    }

    /// Notes that a query is open, by its effective arrival.
    pub(super) fn insert(&mut self, arrived_at: Nanos, id: RequestId) {
        self.open.insert((arrived_at, id));
    }

    /// Notes that a query is no longer open.
    pub(super) fn remove(&mut self, arrived_at: Nanos, id: RequestId) {
        self.open.remove(&(arrived_at, id));
    }

    /// The sequence of the next record.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Declares complete what arrived before the oldest open query, or before `now`.
    pub(super) fn advance(&mut self, now: Nanos) -> UsageWatermark {
        let oldest = self.open.first().map_or(now, |(arrived_at, _)| *arrived_at);
        self.complete_until = self.complete_until.max(oldest);
        self.watermark()
    }

    /// The watermark after which no record follows.
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
