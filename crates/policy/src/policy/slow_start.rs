//! Slow start: limits the parts that are sent to a replica that is warming up.
//!
//! The parts sent by all aggregators together should not overload such a replica. Aggregators do
//! not coordinate, so this holds in expectation and is not a hard limit. Each aggregator derives
//! its allowance from the mean number of results that a replica returns to it. The number of parts
//! sent would not be a usable measure while all replicas are warming up. Dozens of aggregators with
//! one part each would still overload the replica. Each allowance is therefore rounded up or down
//! at random, with a new random number in each overload window.

use super::context::Context;
use super::tuning;
use crate::api::{Nanos, PolicySettings};
use crate::state::{AttemptEnd, KnownReplicas, ReplicaRecord};
use crate::stats::DecayingCounter;

/// Capacity of a replica that is warming up, from the settings.
#[derive(Clone, Copy, Debug)]
struct WarmUpLimits {
    /// Share of its full capacity that a replica has when it starts.
    initial_capacity: f64,
    /// Multiple of its current capacity above which the replica fails.
    overload_multiple: f64,
}

/// Counts results of replicas and derives the allowance of replicas that are warming up.
#[derive(Debug)]
pub struct SlowStart {
    /// `None` if the settings do not limit the load of replicas that are warming up.
    limits: Option<WarmUpLimits>,
    /// Time from the start of a replica until it has its full capacity.
    warm_up_time: Nanos,
    /// Time for which a replica that is warming up tolerates a load above `overload_multiple`.
    overload_window: Nanos,
    /// This aggregator's equal share of one part, from 0 to 1.
    fair_share: f64,
    /// Time in which the count of results decays to 1 / e of itself, ns.
    time_constant: f64,
    /// Seed of the random rounding, which differs between processes.
    seed: u64,
    /// Time of the first batch; 0 before it.
    started_at: Nanos,
    /// Number of results returned to this aggregator, which decays with `time_constant`.
    results: DecayingCounter,
}

impl SlowStart {
    /// Creates the state of a policy that has received no results.
    pub fn new(settings: &PolicySettings, seed: u64) -> SlowStart {
        let limits = settings.initial_capacity.zip(settings.overload_multiple);
        SlowStart {
            limits: limits.map(|(initial_capacity, overload_multiple)| WarmUpLimits {
                initial_capacity,
                overload_multiple,
            }),
            warm_up_time: settings.warm_up_time,
            overload_window: settings.overload_window,
            fair_share: 1.0 / settings.aggregators.max(1) as f64,
            time_constant: tuning::SLOW_START_TIME_CONSTANT * settings.warm_up_time.max(1) as f64,
            seed,
            started_at: 0,
            results: DecayingCounter::default(),
        }
    }

    /// Records the time of the first batch; later calls have no effect.
    pub fn record_start(&mut self, now: Nanos) {
        if self.started_at == 0 {
            self.started_at = now;
        }
    }

    /// Counts the attempt if it ended with a result.
    pub fn on_attempt_end(&mut self, end: &AttemptEnd) {
        if end.is_success() {
            self.results.increment(end.ended_at, self.time_constant);
        }
    }

    /// Returns whether the replica may be sent one more part now.
    pub fn has_allowance(&self, replica: &ReplicaRecord, context: &Context) -> bool {
        let Some(allowance) = self.allowance(replica, context) else {
            return true;
        };
        let recent_parts = replica
            .recent_parts
            .count_since(self.window_start(context.now));
        (recent_parts as f64) < allowance
    }

    /// Returns the start of the current overload window. Parts sent before it do not count against
    /// the allowance.
    pub fn window_start(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.overload_window)
    }

    /// Returns the number of parts that a replica may be sent in any overload window, or `None` if
    /// there is no limit.
    fn allowance(&self, replica: &ReplicaRecord, context: &Context) -> Option<f64> {
        let limits = self.limits?;
        let age = context.now.saturating_sub(replica.started_at);
        if replica.started_at == 0 || age >= self.warm_up_time {
            return None;
        }
        let initial = limits.initial_capacity;
        let capacity = initial + (1.0 - initial) * age as f64 / self.warm_up_time as f64;
        let window = self.overload_window.max(1);
        let mean_results = self.mean_results(context.now, window, &context.replicas);
        let allowance = limits.overload_multiple * capacity * mean_results;
        let seed = self.seed ^ replica.started_at ^ (context.now / window).rotate_left(32);
        let rounding = fastrand::Rng::with_seed(seed).f64();
        Some((allowance.max(self.fair_share) + rounding).floor())
    }

    /// Returns the mean number of results that one replica returns to this aggregator in a window.
    fn mean_results(&self, now: Nanos, window: Nanos, replicas: &KnownReplicas) -> f64 {
        let ready_replicas = replicas.ready().count().max(1);
        let uptime = (now - self.started_at).max(window) as f64;
        let counted_time = self.time_constant.min(uptime);
        self.results.value() / ready_replicas as f64 * window as f64 / counted_time
    }
}
