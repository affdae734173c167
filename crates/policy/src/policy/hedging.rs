//! The budget of hedged requests. [`super::attempts`] decides which attempts are hedged.
//!
//! Invariant: the number of hedged requests is limited, since they add load. The limit decreases as
//! the share of hedged requests that lose against the first attempt grows.

use super::retry::RetryLimiter;
use super::tuning;
use crate::state::RaceWinner;
use crate::stats::weighted_mean;

/// The budget of hedged requests.
#[derive(Debug, Default)]
pub struct HedgingBudget {
    /// Moving average of the share of hedged requests that lost against the first attempt.
    loss_rate: f64,
}

impl HedgingBudget {
    /// Records which of several concurrent attempts at a part was answered first.
    pub fn record_race(&mut self, winner: RaceWinner) {
        let is_lost = f64::from(u8::from(winner == RaceWinner::First));
        self.loss_rate = weighted_mean(self.loss_rate, is_lost, tuning::HEDGE_LOSS_WEIGHT);
    }

    /// Returns whether one more hedged request is within the budget, which retries use as well.
    /// `open_parts` is the number of parts of open queries.
    pub fn allows_hedge(&self, limiter: &RetryLimiter, open_parts: usize) -> bool {
        let received = limiter.recently_received().max(open_parts) as f64;
        let factor = tuning::MAX_HEDGE_FACTOR - tuning::HEDGE_FACTOR_SLOPE * self.loss_rate;
        let additional = tuning::HEDGE_RATIO * received * factor.clamp(0.0, 1.0);
        (limiter.recently_retried() as f64) < tuning::MIN_HEDGES + additional
    }
}
