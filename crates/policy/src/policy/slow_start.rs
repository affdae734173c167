//! Slow start: how many parts a replica that is warming up may be sent.
//!
//! Aim: the sum over all aggregators stays below what overloads such a replica. The aggregators do
//! not communicate, so this holds in expectation and not as a hard limit. Each aggregator bases its
//! allowance on the results that a replica returns to it on average; the number of parts sent would
//! be no measure while all replicas warm up. Dozens of aggregators with one part each would still
//! overload it, so an allowance is rounded up or down at random, anew in each overload window.

use super::context::Context;
use super::tuning;
use crate::api::{Nanos, PolicySettings};
use crate::state::{AttemptEnd, KnownReplicas, ReplicaRecord};
use crate::stats::DecayingCounter;

/// The limits that the operator states for a replica that is warming up.
#[derive(Clone, Copy, Debug)]
struct WarmUpLimits {
    /// Share of its capacity that a replica has when it starts.
    initial_capacity: f64,
    /// Multiple of its present capacity above which it fails.
    overload_multiple: f64,
}

/// The results that replicas returned lately, and the allowance that follows from them.
#[derive(Debug)]
pub struct SlowStart {
    /// No allowance is needed where this is not stated.
    limits: Option<WarmUpLimits>,
    warm_up_time: Nanos,
    /// The window of the operator's limit.
    overload_window: Nanos,
    /// This aggregator's share of one part.
    fair_share: f64,
    /// Nanoseconds over which results are counted.
    memory: f64,
    /// Distinguishes this process from others.
    seed: u64,
    /// The time of the first batch; 0 before it.
    started: Nanos,
    /// Results returned to this aggregator, over `memory`.
    results: DecayingCounter,
}

impl SlowStart {
    /// Slow start before the first result.
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
            memory: tuning::SLOW_START_MEMORY * settings.warm_up_time.max(1) as f64,
            seed,
            started: 0,
            results: DecayingCounter::default(),
        }
    }

    /// Notes the time of the first batch.
    pub fn start(&mut self, now: Nanos) {
        if self.started == 0 {
            self.started = now;
        }
    }

    /// Counts a result of any replica.
    pub fn on_attempt_end(&mut self, end: &AttemptEnd) {
        if end.is_success() {
            self.results.increment(end.ended, self.memory);
        }
    }

    /// Whether the replica may be sent one more part now.
    pub fn has_allowance(&self, replica: &ReplicaRecord, context: &Context) -> bool {
        let Some(allowance) = self.allowance(replica, context) else {
            return true;
        };
        let recent = replica
            .recent_parts
            .count_since(self.window_start(context.now));
        (recent as f64) < allowance
    }

    /// Parts sent to a replica before this no longer count.
    pub fn window_start(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.overload_window)
    }

    /// The parts that a replica may be sent in any overload window; none where there is no limit.
    fn allowance(&self, replica: &ReplicaRecord, context: &Context) -> Option<f64> {
        let limits = self.limits?;
        let age = context.now.saturating_sub(replica.started);
        if replica.started == 0 || age >= self.warm_up_time {
            return None;
        }
        let initial = limits.initial_capacity;
        let capacity = initial + (1.0 - initial) * age as f64 / self.warm_up_time as f64;
        let window = self.overload_window.max(1);
        let mean_results = self.mean_results(context.now, window, &context.replicas);
        let allowance = limits.overload_multiple * capacity * mean_results;
        let seed = self.seed ^ replica.started ^ (context.now / window).rotate_left(32);
        let rounding = fastrand::Rng::with_seed(seed).f64();
        Some((allowance.max(self.fair_share) + rounding).floor())
    }

    /// The results that one replica returns to this aggregator in a window on average.
    fn mean_results(&self, now: Nanos, window: Nanos, replicas: &KnownReplicas) -> f64 {
        let ready = replicas.ready().count().max(1);
        let running = (now - self.started).max(window) as f64;
        let counted = self.memory.min(running);
        self.results.value() / ready as f64 * window as f64 / counted
    }
}
