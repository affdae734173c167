//! The weight cutoff: drops light parts under overload, in classes with partial answers.
//!
//! The design specifies that an aggregator starts with a cutoff of zero and sends every part. Under
//! overload, the cutoff rises step by step to at most one eighth, and the lightest parts are
//! dropped first. The parts that minimum coverage needs are always sent. The cutoff falls after a
//! few seconds without overload.
//!
//! Invariant: the cutoff rises only under overload, and is applied to each query once.

use super::output::BatchOutput;
use super::tuning;
use crate::api::{Nanos, QueryClass};
use crate::state::{PartState, QueryState};
use crate::stats::SlidingWindow;

/// The weight cutoff, and the overload signal that controls it.
#[derive(Debug)]
pub struct WeightCutoff {
    /// Minimum time from a change of the cutoff to its next increase, ns.
    min_increase_interval: f64,
    /// Weight below which a part may be dropped, from 0 to [`tuning::CUTOFF_CEILING`].
    value: f64,
    /// Time of the last change of `value`; 0 before the first one.
    changed_at: Nanos,
    /// Time at which the signal last indicated overload; 0 before that.
    last_overload: Nanos,
    /// Whether each of the recent parts was missed.
    recent_misses: SlidingWindow<bool>,
}

impl WeightCutoff {
    /// Creates a cutoff of zero. `objective` is the shortest latency objective, ns.
    pub fn new(objective: f64) -> WeightCutoff {
        WeightCutoff {
            // One second at an objective of two seconds, as the design specifies.
            min_increase_interval: objective / 2.0,
            value: 0.0,
            changed_at: 0,
            last_overload: 0,
            recent_misses: SlidingWindow::default(),
        }
    }

    /// Adds a part to the overload signal, unless the part has been added before. `is_missed`
    /// states whether the part was late, or ended in a way that indicates missing capacity.
    pub fn record(&mut self, now: Nanos, part: &mut PartState, is_missed: bool) {
        if !std::mem::replace(&mut part.is_counted, true) {
            self.recent_misses.push(now, is_missed);
        }
    }

    /// Adjusts the cutoff to the overload signal of the last window. An increase is one step, times
    /// the ratio of the signal to its threshold: in a large fleet, an aggregator gets so few
    /// samples that its next reliable signal is seconds away.
    pub fn update(&mut self, now: Nanos, output: &mut BatchOutput) {
        self.recent_misses
            .expire(now.saturating_sub(tuning::OVERLOAD_WINDOW));
        let counted = self.recent_misses.len();
        let missed = self.recent_misses.count_where(|is_missed| *is_missed) as f64;
        let threshold = tuning::OVERLOAD_SHARE * counted as f64;
        let is_overloaded = counted >= tuning::OVERLOAD_MIN_PARTS && missed > threshold;
        if is_overloaded {
            self.last_overload = now;
        }
        let time_since_change = now.saturating_sub(self.changed_at);
        let time_since_overload = now.saturating_sub(self.last_overload);
        if is_overloaded && time_since_change as f64 >= self.min_increase_interval {
            let increase = tuning::CUTOFF_STEP * (missed / threshold).max(1.0);
            let value = (self.value + increase).min(tuning::CUTOFF_CEILING);
            self.set(now, value, output);
        } else if time_since_change >= tuning::OVERLOAD_WINDOW
            && time_since_overload >= tuning::CUTOFF_QUIET_TIME
        {
            let value = (self.value - tuning::CUTOFF_STEP).max(0.0);
            self.set(now, value, output);
        }
    }

    /// Drops the query's parts whose weight is below the cutoff, lightest first. The weight dropped
    /// is at most the weight that exceeds minimum coverage, times the ratio of the cutoff to its
    /// ceiling.
    pub fn drop_light_parts(&self, query: &mut QueryState, class: &QueryClass) {
        let cutoff = self.value;
        if cutoff <= 0.0 || class.minimum_coverage >= 1.0 {
            return;
        }
        let kept = query.parts.iter().filter(|part| !part.is_dropped);
        let kept_weight: f64 = kept.map(|part| part.weight).sum();
        let mut spare = (kept_weight - class.minimum_coverage) * cutoff / tuning::CUTOFF_CEILING;
        for index in query.lightest_first() {
            let part = &mut query.parts[index];
            if part.weight >= cutoff || part.weight > spare {
                return;
            }
            if !part.is_dropped {
                spare -= part.weight;
            }
            part.is_dropped = true;
        }
    }

    fn set(&mut self, now: Nanos, value: f64, output: &mut BatchOutput) {
        let previous = std::mem::replace(&mut self.value, value);
        if value == previous {
            return;
        }
        self.changed_at = now;
        if previous == 0.0 {
            output.log("weight cutoff raised above zero: dropping light parts");
        } else if value == 0.0 {
            output.log("weight cutoff lowered to zero: no longer dropping light parts");
        }
    }
}
