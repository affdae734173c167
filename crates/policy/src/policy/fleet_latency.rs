//! Latency statistics over all replicas: the expected latency of a replica, and the time after
//! which an answer is overdue.

use super::tuning;
use crate::api::Nanos;
use crate::state::{AttemptEnd, ReplicaRecord};
use crate::stats::MeanDeviation;

/// Mean latency of all replicas and the mean deviation from it, ns.
#[derive(Debug)]
pub struct FleetLatency {
    /// Shortest latency objective, ns.
    objective: f64,
    /// Latencies of attempts that ended with a result, ns.
    samples: MeanDeviation,
}

impl FleetLatency {
    /// Creates statistics without samples. `objective` is the shortest latency objective, ns.
    pub fn new(objective: f64) -> FleetLatency {
        FleetLatency {
            objective,
            samples: MeanDeviation::default(),
        }
    }

    /// Adds the latency of the attempt if it ended with a result.
    pub fn on_attempt_end(&mut self, end: &AttemptEnd) {
        if end.is_success() {
            self.samples.add(end.latency(), tuning::FLEET_WEIGHT);
        }
    }

    /// Returns the mean latency, ns, or `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.samples.mean()
    }

    /// Returns the expected latency of a replica, ns. The smoothed latency of the replica decays to
    /// the mean of all replicas. A replica without a measurement is expected to have that mean.
    pub fn smoothed_latency(&self, now: Nanos, replica: &ReplicaRecord) -> f64 {
        let initial = tuning::INITIAL_LATENCY_SHARE * self.objective;
        let mean = self.mean().unwrap_or(initial);
        let Some(own_latency) = replica.latency else {
            return mean;
        };
        mean + (own_latency - mean) * (-self.staleness(now, replica.latency_updated_at)).exp()
    }

    /// Returns the time since `measured_at` as a multiple of [`FleetLatency::decay_time`].
    pub fn staleness(&self, now: Nanos, measured_at: Nanos) -> f64 {
        now.saturating_sub(measured_at) as f64 / self.decay_time()
    }

    /// Returns the time constant with which a measurement of a replica loses its weight, ns.
    pub fn decay_time(&self) -> f64 {
        tuning::DECAY_OBJECTIVES * self.objective
    }

    /// Returns the time to wait for an answer before a hedged request is sent, ns. The delay leaves
    /// enough of `objective`, ns, for the hedged request to be answered.
    pub fn hedging_delay(&self, objective: f64) -> f64 {
        let initial = tuning::INITIAL_LATENCY_SHARE * objective;
        let mean = self.mean().unwrap_or(initial);
        let delay = mean + tuning::HEDGING_DELAY_DEVIATIONS * self.samples.deviation();
        let min_wait = tuning::MIN_WAIT_SHARE * objective;
        delay.clamp(min_wait, tuning::MAX_WAIT_SHARE * objective)
    }
}
