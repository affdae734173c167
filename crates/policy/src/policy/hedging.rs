//! The budget of hedged requests. [`super::attempts`] decides which attempts are hedged.
//!
//! Invariant: the number of hedged requests is limited, since they add load. The limit decreases as
//! the share of hedged requests that lose to the first attempt grows.

use super::retry::RetryLimiter;
use super::tuning;
use crate::state::RaceWinner;
use crate::stats::weighted_mean;

/// Limits hedged requests by the number of parts and by the outcomes of earlier hedged requests.
#[derive(Debug, Default)]
pub struct HedgingBudget {
    /// Moving average of the share of hedged requests that lost to the first attempt.
    loss_rate: f64,
}

impl HedgingBudget {
    /// Records which of several concurrent attempts at a part was answered first.
    pub fn record_race(&mut self, winner: RaceWinner) {
        let loss = f64::from(u8::from(winner == RaceWinner::First));
        self.loss_rate = weighted_mean(self.loss_rate, loss, tuning::HEDGE_LOSS_WEIGHT);
    }

    /// Returns whether the budget allows one more hedged request. Retries count against the budget
    /// as well. `open_parts` is the number of parts of open queries.
    pub fn allows_hedge(&self, limiter: &RetryLimiter, open_parts: usize) -> bool {
        let recent_or_open_parts = limiter.recently_received().max(open_parts) as f64;
        let factor = tuning::MAX_HEDGE_FACTOR - tuning::HEDGE_FACTOR_SLOPE * self.loss_rate;
        let additional_hedges = tuning::HEDGE_RATIO * recent_or_open_parts * factor.clamp(0.0, 1.0);
        (limiter.recently_retried() as f64) < tuning::MIN_HEDGES + additional_hedges
    }
}
