//! Slow start: how much a replica that is warming up may get.
//!
//! Invariant: the sum over all aggregators stays under what pushes such a replica over. Each one's
//! guide is what replicas usually return to it; what was sent would say nothing where all are cold.
//! Dozens of aggregators with one part each would do harm too, so of an allowance below one the
//! seed decides when it may be used.

use super::{tuning, Policy};
use crate::state::ReplicaRecord;

impl Policy {
    /// Whether the replica may get one more part now.
    pub(super) fn has_allowance(&self, replica: &ReplicaRecord) -> bool {
        let since = self
            .context
            .now
            .saturating_sub(self.context.settings.overload_window);
        let recent = replica.recent_parts.count_since(since);
        (recent as f64) < self.slow_start_allowance(replica)
    }

    /// The parts that a replica may get in any overload window.
    fn slow_start_allowance(&self, replica: &ReplicaRecord) -> f64 {
        let settings = &self.context.settings;
        let age = self.context.now.saturating_sub(replica.started);
        let is_warm = replica.started == 0 || age >= settings.warm_up_time;
        let limits = settings.initial_capacity.zip(settings.overload_multiple);
        let Some((initial, multiple)) = limits.filter(|_| !is_warm) else {
            return f64::INFINITY;
        };
        let capacity = initial + (1.0 - initial) * age as f64 / settings.warm_up_time as f64;
        let window = settings.overload_window.max(1);
        let fair_share = 1.0 / settings.aggregators.max(1) as f64;
        let seed = self.seed ^ replica.started ^ (self.context.now / window).rotate_left(32);
        let rounding = fastrand::Rng::with_seed(seed).f64();
        let allowance = multiple * capacity * self.usual_results(window);
        (allowance.max(fair_share) + rounding).floor()
    }

    /// The results that one replica usually returns to this aggregator in a window.
    fn usual_results(&self, window: u64) -> f64 {
        let ready = self.context.replicas.ready().count().max(1);
        let running = (self.context.now - self.started).max(window) as f64;
        let counted = self.slow_start_memory().min(running);
        self.results.value() / ready as f64 * window as f64 / counted
    }

    /// Nanoseconds over which results are counted.
    pub(super) fn slow_start_memory(&self) -> f64 {
        tuning::SLOW_START_MEMORY * self.context.settings.warm_up_time.max(1) as f64
    }
}
