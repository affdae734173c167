//! The weight cutoff: light parts are left out under overload, in classes with partial answers.
//!
//! Design: "A fresh aggregator starts it at zero, sending every part. [...] the cutoff climbs one
//! step toward one eighth, never past the weight that keeps the class's floor of parts sent,
//! lightest parts dropped first. It sinks after a few quiet seconds."
//!
//! Invariant: the cutoff rests at zero without overload, and acts once for a query.

use super::{tuning, Policy};
use crate::state::QueryState;

impl Policy {
    /// Drops parts below the cutoff. Each step of it lets go a share of what may go, not all.
    pub(super) fn drop_light_parts(&self, query: &mut QueryState) {
        let minimum_coverage = self.context.class(query.class).minimum_coverage;
        let cutoff = self.cutoff.value;
        if cutoff <= 0.0 || minimum_coverage >= 1.0 {
            return;
        }
        let kept = query.parts.iter().filter(|part| !part.is_dropped);
        let kept_weight: f64 = kept.map(|part| part.weight).sum();
        let mut spare = (kept_weight - minimum_coverage) * cutoff / tuning::CUTOFF_CEILING;
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

    /// Moves the cutoff by the overload signal. It climbs by as many steps as the signal is times
    /// its threshold: among many aggregators the next reading is seconds away.
    pub(super) fn move_cutoff(&mut self) {
        let judged = self.cutoff.judged.len();
        let missed = self.cutoff.judged.count_where(|missed| *missed) as f64;
        let threshold = tuning::OVERLOAD_SHARE * judged as f64;
        let is_overloaded = judged >= tuning::OVERLOAD_MIN_PARTS && missed > threshold;
        if is_overloaded {
            self.cutoff.last_overload = self.context.now;
        }
        let unmoved = self.context.now.saturating_sub(self.cutoff.moved);
        let quiet = self.context.now.saturating_sub(self.cutoff.last_overload);
        // The design's second between two steps up, at objectives of two seconds.
        let value = self.cutoff.value;
        if is_overloaded && unmoved as f64 >= self.context.objective / 2.0 {
            let climb = tuning::CUTOFF_STEP * (missed / threshold).max(1.0);
            self.set_cutoff((value + climb).min(tuning::CUTOFF_CEILING));
        } else if unmoved >= tuning::OVERLOAD_WINDOW && quiet >= tuning::CUTOFF_QUIET_TIME {
            self.set_cutoff((value - tuning::CUTOFF_STEP).max(0.0));
        }
    }

    fn set_cutoff(&mut self, value: f64) {
        let before = std::mem::replace(&mut self.cutoff.value, value);
        if value == before {
            return;
        }
        self.cutoff.moved = self.context.now;
        if before == 0.0 {
            let line = "cutoff off zero: light parts are dropped";
            self.output.log(line);
        } else if value == 0.0 {
            self.output.log("cutoff back at zero");
        }
    }
}
