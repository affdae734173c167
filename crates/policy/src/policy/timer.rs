//! The timer, which runs a batch when no event arrives.

use super::tuning;
use crate::api::{Action, Nanos, PolicySettings};

/// The timer of a policy. It fires once per period while a query is open.
#[derive(Debug)]
pub struct BatchTimer {
    period: Nanos,
    /// Time for which the timer was last set; `None` if it has never been set.
    fires_at: Option<Nanos>,
}

impl BatchTimer {
    /// Creates a timer that is not set. `objective` is the shortest latency objective, ns.
    pub fn new(settings: &PolicySettings, objective: f64) -> BatchTimer {
        let period = objective as Nanos / tuning::TIMER_PERIODS_PER_OBJECTIVE;
        BatchTimer {
            period: period.max(2 * settings.min_batch_interval).max(1),
            fires_at: None,
        }
    }

    /// Returns the time between two firings while a query is open.
    pub fn period(&self) -> Nanos {
        self.period
    }

    /// Returns a time a few periods before `at`. At least one batch runs between that time and `at`
    /// while a query is open.
    pub fn safely_before(&self, at: Nanos) -> Nanos {
        at.saturating_sub(tuning::SPARE_TIMER_PERIODS * self.period)
    }

    /// Returns the action that sets the timer to fire at `at`, or `None` if the timer will already
    /// fire at `at` or earlier.
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
