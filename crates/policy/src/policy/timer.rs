//! When the next batch without events runs.

use super::tuning;
use crate::api::{Action, Nanos, PolicySettings};

/// The timer of the policy. While a query is open it fires every period.
#[derive(Debug)]
pub struct BatchTimer {
    period: Nanos,
    fires_at: Option<Nanos>,
}

impl BatchTimer {
    /// A timer that is not set. `objective` is the shortest latency objective of a class, ns.
    pub fn new(settings: &PolicySettings, objective: f64) -> BatchTimer {
        let period = objective as Nanos / tuning::PERIODS_PER_OBJECTIVE;
        BatchTimer {
            period: period.max(2 * settings.min_batch_interval).max(1),
            fires_at: None,
        }
    }

    /// The time between two batches while a query is open.
    pub fn period(&self) -> Nanos {
        self.period
    }

    /// A few periods before `at`, so that a batch runs before a time that must not be missed.
    pub fn safely_before(&self, at: Nanos) -> Nanos {
        at.saturating_sub(tuning::SPARE_PERIODS * self.period)
    }

    /// Sets the timer to fire at `at`. Returns no action where it fires by then already.
    pub fn set(&mut self, now: Nanos, at: Nanos) -> Option<Action> {
        let fires_by_then = |fires_at: Nanos| fires_at > now && fires_at <= at;
        if self.fires_at.is_some_and(fires_by_then) {
            return None;
        }
        self.fires_at = Some(at);
        let after = at.saturating_sub(now);
        Some(Action::SetTimer { token: 0, after })
    }
}
