//! Latency statistics over all replicas: the expected latency of a replica, and the time after
//! which an answer is overdue.

use super::tuning;
use crate::api::Nanos;
use crate::state::{AttemptEnd, ReplicaRecord};
use crate::stats::MeanDeviation;

/// Mean latency of all replicas and the mean deviation from it, ns.
#[derive(Debug)]
pub struct FleetLatency {
    objective: f64,
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

    /// Returns the expected latency of a replica, ns. The replica's own smoothed latency decays to
    /// the mean of all replicas. A replica without a measurement has that mean.
    pub fn smoothed_latency(&self, now: Nanos, replica: &ReplicaRecord) -> f64 {
        let initial = tuning::INITIAL_LATENCY_SHARE * self.objective;
        let mean = self.mean().unwrap_or(initial);
        let Some(own) = replica.latency else {
            return mean;
        };
        mean + (own - mean) * (-self.staleness(now, replica.latency_updated)).exp()
    }

    /// Returns the age of a measurement as a multiple of [`FleetLatency::decay_time`].
    pub fn staleness(&self, now: Nanos, measured: Nanos) -> f64 {
        now.saturating_sub(measured) as f64 / self.decay_time()
    }

    /// Returns the time in which a measurement of a replica loses most of its weight, ns.
    pub fn decay_time(&self) -> f64 {
        tuning::DECAY_OBJECTIVES * self.objective
    }

    /// Returns how long to wait for an answer before a hedged request is sent, ns. The delay leaves
    /// enough of `objective` for the hedged request to be answered.
    pub fn hedging_delay(&self, objective: f64) -> f64 {
        let initial = tuning::INITIAL_LATENCY_SHARE * objective;
        let mean = self.mean().unwrap_or(initial);
        let delay = mean + tuning::HEDGING_DELAY_DEVIATIONS * self.samples.deviation();
        let min_wait = tuning::MIN_WAIT_SHARE * objective;
        delay.clamp(min_wait, tuning::MAX_WAIT_SHARE * objective)
    }
}
