//! The weight cutoff: light parts are dropped under overload, in classes with partial answers.
//!
//! Design: "A fresh aggregator starts it at zero, sending every part. [...] the cutoff climbs one
//! step toward one eighth, never past the weight that keeps the class's floor of parts sent,
//! lightest parts dropped first. It sinks after a few quiet seconds."
//!
//! Invariant: the cutoff is zero without overload, and is applied once to a query.

use super::output::BatchOutput;
use super::tuning;
use crate::api::{Nanos, QueryClass};
use crate::state::{PartState, QueryState};
use crate::stats::SlidingWindow;

/// The weight cutoff, and the overload signal that moves it.
#[derive(Debug)]
pub struct WeightCutoff {
    /// Least time between two steps up, ns.
    min_climb_interval: f64,
    /// Parts lighter than this may be dropped.
    value: f64,
    /// When the value last changed.
    changed: Nanos,
    /// When the signal last showed overload.
    last_overload: Nanos,
    /// Recent parts, each with whether it missed its latency objective or was rejected.
    parts: SlidingWindow<bool>,
}

impl WeightCutoff {
    /// A cutoff of zero. `objective` is the shortest latency objective of a class, ns.
    pub fn new(objective: f64) -> WeightCutoff {
        WeightCutoff {
            // The design's second between two steps up, at objectives of two seconds.
            min_climb_interval: objective / 2.0,
            value: 0.0,
            changed: 0,
            last_overload: 0,
            parts: SlidingWindow::default(),
        }
    }

    /// Adds a part to the overload signal, once.
    pub fn record(&mut self, now: Nanos, part: &mut PartState, is_missed: bool) {
        if !std::mem::replace(&mut part.is_counted, true) {
            self.parts.push(now, is_missed);
        }
    }

    /// Moves the cutoff by the overload signal of the last window. It climbs by as many steps as
    /// the signal is times its threshold: among many aggregators each gets few samples, and the
    /// next reliable signal is seconds away.
    pub fn update(&mut self, now: Nanos, output: &mut BatchOutput) {
        self.parts
            .expire(now.saturating_sub(tuning::OVERLOAD_WINDOW));
        let counted = self.parts.len();
        let missed = self.parts.count_where(|is_missed| *is_missed) as f64;
        let threshold = tuning::OVERLOAD_SHARE * counted as f64;
        let is_overloaded = counted >= tuning::OVERLOAD_MIN_PARTS && missed > threshold;
        if is_overloaded {
            self.last_overload = now;
        }
        let unchanged = now.saturating_sub(self.changed);
        let quiet = now.saturating_sub(self.last_overload);
        if is_overloaded && unchanged as f64 >= self.min_climb_interval {
            let climb = tuning::CUTOFF_STEP * (missed / threshold).max(1.0);
            let value = (self.value + climb).min(tuning::CUTOFF_CEILING);
            self.set(now, value, output);
        } else if unchanged >= tuning::OVERLOAD_WINDOW && quiet >= tuning::CUTOFF_QUIET_TIME {
            let value = (self.value - tuning::CUTOFF_STEP).max(0.0);
            self.set(now, value, output);
        }
    }

    /// Drops the query's parts below the cutoff, lightest first. The weight dropped is limited: as
    /// a share of what minimum coverage does not need, it is the cutoff's share of its ceiling.
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
        let before = std::mem::replace(&mut self.value, value);
        if value == before {
            return;
        }
        self.changed = now;
        if before == 0.0 {
            output.log("cutoff off zero: light parts are dropped");
        } else if value == 0.0 {
            output.log("cutoff back at zero");
        }
    }
}
